//! Command-line arguments.

use std::path;

/// Serves multi-stage model pipelines and reports the outcome of each request.
///
/// Exit codes: 0 success, 1 refused or failed, 2 usage error, 3 unreachable, 4 outcome unknown.
#[derive(Debug, clap::Parser)]
#[command(version, after_help = EXAMPLES)]
pub struct Args {
    /// The subcommand to run.
    #[command(subcommand)]
    pub command: Command,
}

const EXAMPLES: &str = "Examples:
  sequoiacrank quickstart
  sequoiacrank check declarations.jsonc
  sequoiacrank apply declarations.jsonc --to http://127.0.0.1:8080 --dry-run
  sequoiacrank status --from http://127.0.0.1:8080 --format json
  sequoiacrank explain 2001
  sequoiacrank explain 9c41d07be2a35f68 host-1.log host-2.log";

/// Subcommands.
#[derive(Debug, clap::Subcommand)]
pub enum Command {
    /// Runs a host until SIGTERM or SIGINT; a second signal stops it at once.
    Serve {
        /// File with the settings of the host, JSON with comments.
        #[arg(long, value_name = "FILE")]
        settings: path::PathBuf,
    },
    /// Runs a host that is configured through the platform's store, until SIGTERM or SIGINT.
    Edge {
        /// File with the settings of the host, JSON with comments [default: $SEQUOIACRANK_CONFIG].
        #[arg(long, value_name = "FILE")]
        settings: Option<path::PathBuf>,
    },
    /// Checks declarations or settings and prints each problem as FILE:LINE: CODE: FIELD: DETAIL.
    Check {
        /// Files to check; all files of declarations are checked together.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<path::PathBuf>,
        /// Output format.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Replaces the declarations and waits until the new ones are in force on all hosts.
    Apply(Apply),
    /// Shows hosts, availability zones, endpoints and moves.
    Status {
        /// URL of any host.
        #[arg(long, value_name = "URL")]
        from: String,
        /// Output format.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Explains a result code, or prints the timeline of a request from the logs of all hosts.
    Explain {
        /// Result code such as 2001, `all` for the table of codes, or request id.
        #[arg(value_name = "CODE|ID")]
        what: String,
        /// Log files of hosts [default: standard input].
        #[arg(value_name = "LOG")]
        logs: Vec<path::PathBuf>,
    },
    /// Runs three hosts with simulated endpoints and platform in this process as a demonstration.
    Quickstart {
        /// Output format.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Runs a simulated engine, service, log or host list until SIGTERM or SIGINT.
    Standin(Standin),
    /// Measures routing decisions, capacity, or hosts under load.
    Measure {
        /// What to measure.
        #[command(subcommand)]
        what: Measure,
    },
}

/// Arguments of `apply`.
#[derive(Debug, clap::Args)]
pub struct Apply {
    /// Files that together hold the whole declared state.
    #[arg(required = true, value_name = "FILE")]
    pub files: Vec<path::PathBuf>,
    /// URL of any host.
    #[arg(long, value_name = "URL")]
    pub to: String,
    /// Revision that the files are based on [default: the one in force].
    #[arg(long, value_name = "REVISION")]
    pub base: Option<u64>,
    /// Prints what would change, without applying it.
    #[arg(long)]
    pub dry_run: bool,
    /// Longest time to wait until the revision is in force on all hosts, in seconds.
    #[arg(long, value_name = "SECONDS", default_value_t = 30)]
    pub wait: u64,
    /// File with the operators' bearer token.
    #[arg(long, value_name = "FILE")]
    pub token_file: Option<path::PathBuf>,
}

/// Arguments of `standin`.
#[derive(Debug, clap::Args)]
pub struct Standin {
    /// What to simulate.
    #[arg(value_enum)]
    pub kind: StandinKind,
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0", value_name = "IP:PORT")]
    pub listen: std::net::SocketAddr,
    /// Version that an engine or a plain service reports.
    #[arg(long, default_value = "v1")]
    pub version: String,
    /// Concurrent calls that an engine can take right after its start.
    #[arg(long)]
    pub cold: Option<u32>,
    /// Concurrent calls that a warm engine can take.
    #[arg(long)]
    pub full: Option<u32>,
    /// Time between two tokens of an engine's stream, in milliseconds.
    #[arg(long)]
    pub step_ms: Option<u64>,
    /// Time that each further call in flight adds between two tokens, in microseconds.
    #[arg(long)]
    pub slope_us: Option<u64>,
}

/// What a stand-in simulates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum StandinKind {
    /// A model engine that also embeds and reranks.
    Engine,
    /// A plain service with a call that is not idempotent, and a retriever.
    Plain,
    /// The platform's append-only log.
    Log,
    /// The platform's host list.
    Hosts,
}

/// What `measure` measures.
#[derive(Debug, clap::Subcommand)]
pub enum Measure {
    /// Routing decisions against their baselines, in simulated time.
    Decisions {
        /// Seed of the random number generator.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Output format.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Growth of state, time and messages with the size of the system.
    Capacity {
        /// Output format.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Hosts under a constant rate of streamed requests, compared with direct calls to the engine.
    Load(Load),
}

/// Arguments of `measure load`. The defaults are the design load of one host.
#[derive(Debug, clap::Args)]
pub struct Load {
    /// URLs of running hosts; requests go to them in turn.
    #[arg(long, required = true, value_name = "URL")]
    pub to: Vec<String>,
    /// URL of an engine of the pipeline, for direct calls in the same run.
    #[arg(long, value_name = "URL")]
    pub engine: Option<String>,
    /// Process id of the host, to report its memory and CPU time.
    #[arg(long)]
    pub pid: Option<u32>,
    /// Bearer key of a workspace.
    #[arg(long, default_value = "load-key")]
    pub key: String,
    /// Pipeline with a single generating stage.
    #[arg(long, default_value = "generate")]
    pub pipeline: String,
    /// New requests per second.
    #[arg(long, default_value_t = 45.0)]
    pub rate: f64,
    /// Number of tokens of each answer.
    #[arg(long, default_value_t = 244)]
    pub tokens: u32,
    /// Duration of the load, in seconds.
    #[arg(long, default_value_t = 30)]
    pub seconds: u64,
    /// Output format.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    pub format: Format,
}

/// Output formats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// Plain text for people.
    Text,
    /// JSON for programs.
    Json,
}
