//! Settings of a host that runs as `sequoiacrank edge`: calls to the platform's API.

use std::time;

use sequoiacrank_config::edge;
use sequoiacrank_kernel::code;

/// Fields of `platform_api` with their values.
type Fields<'a> = &'a [(&'a str, serde_json::Value)];

/// Settings with these fields of `platform_api` replaced.
fn parse(replaced: Fields<'_>) -> Result<edge::Settings, String> {
    let mut api = serde_json::json!({
        "address": "127.0.0.1:8188", "duties": ["usage_report", "autoscale"], "rate": 50.0,
        "fenced": true, "lease": "3000ms", "window": "5s", "late": "10s", "zones_lost": 1,
    });
    for (field, value) in replaced {
        api[field] = value.clone();
    }
    let settings = serde_json::json!({
        "host": "edge-1", "zone": "a", "listen": "127.0.0.1:8080", "readiness": "127.0.0.1:8081",
        "peer": "127.0.0.1:8082", "metrics": "127.0.0.1:8083", "store": "127.0.0.1:9100",
        "grace": "8s", "retries": {}, "cold": {}, "platform_api": api,
    });
    edge::parse("s", &settings.to_string()).map_err(|found| {
        assert!(found.iter().all(|it| it.code == code::Code::OutOfRange), "{found:?}");
        format!("{found:?}")
    })
}

#[test]
fn platform_api() {
    let settings = parse(&[]).expect("refused");
    let api = settings.platform_api.expect("no API");
    assert_eq!(
        (api.lease, api.late),
        (time::Duration::from_secs(3), time::Duration::from_secs(10))
    );
    assert!(api.fenced && api.has_duty(edge::USAGE_DUTY) && api.has_duty(edge::SCALING_DUTY));
}

/// Guards against a host that starts with settings under which it cannot perform its duties, and
/// an error that does not name the settings at fault.
#[test]
fn contradictions() {
    let cases: [(Fields<'_>, &[&str]); 5] = [
        (&[("window", "0s".into())], &["usage_report", "window"]),
        (&[("late", "0s".into())], &["usage_report", "late"]),
        (&[("lease", "0s".into())], &["lease"]),
        (&[("lease", "5001ms".into())], &["lease", "late"]),
        (&[("rate", 0.0.into())], &["rate", "duties"]),
    ];
    for (replaced, names) in cases {
        let err = parse(replaced).expect_err("accepted");
        for name in names {
            assert!(err.contains(name), "{replaced:?}: {err}");
        }
    }
    let accepted = [("lease", "5s".into())];
    parse(&accepted).expect("half of `late` is refused");
    let accepted = [("duties", serde_json::json!(["autoscale"])), ("window", "0s".into())];
    parse(&accepted).expect("a window is only needed for usage reports");
}
