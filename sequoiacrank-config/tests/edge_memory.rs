//! Settings of a host that runs as `sequoiacrank edge`: memory and file descriptors.

use sequoiacrank_config::edge;
use sequoiacrank_kernel::code;

/// Settings with these further fields.
fn settings(fields: &str) -> String {
    format!(
        r#"{{"host": "entry-1", "zone": "a", "listen": "127.0.0.1:8080",
        "readiness": "127.0.0.1:8081", "peer": "127.0.0.1:8082", "metrics": "127.0.0.1:8083",
        "store": "127.0.0.1:8084", "grace": "8s", "retries": {{}}, "cold": {{}}{fields}}}"#
    )
}

/// Guards against a refusal of machines that are large enough, or whose size is unknown.
#[test]
fn usable_memory_and_descriptors() {
    for fields in [
        "",
        r#", "memory": 120, "descriptors": 3075"#,
        r#", "memory": 32"#,
        r#", "descriptors": 232"#,
    ] {
        assert!(edge::parse("s", &settings(fields)).is_ok(), "{fields}");
    }
    assert_eq!(edge::caller_connections(3075), 1437);
}

/// Guards against hosts that start and can accept no or hardly any caller, and against an error
/// that leaves open which setting to change.
#[test]
fn too_little_memory_or_descriptors() {
    for fields in [
        r#", "memory": 31"#,
        r#", "memory": 0, "descriptors": 3075"#,
        r#", "descriptors": 231"#,
        r#", "memory": 120, "descriptors": 100"#,
    ] {
        let found = edge::parse("s", &settings(fields)).expect_err(fields);
        assert_eq!(found[0].code, code::Code::OutOfRange, "{fields}");
        let text = found[0].to_string();
        assert!(text.contains("`memory`") && text.contains("`descriptors`"), "{text}");
    }
}
