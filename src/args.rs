//! Arguments of the command line.

use std::path;

/// Serves multi-stage model pipelines and answers for their outcomes.
///
/// Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 not reachable, 4 not known whether done.
#[derive(Debug, clap::Parser)]
#[command(version, after_help = EXAMPLES)]
pub struct Args {
    /// What to do.
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
    /// Runs a host until it gets SIGTERM or SIGINT; a second signal ends it at once.
    Serve {
        /// Settings of the host, JSON with comments.
        #[arg(long, value_name = "FILE")]
        settings: path::PathBuf,
    },
    /// Runs a host on the users' platform until it gets SIGTERM or SIGINT.
    Edge {
        /// Settings, JSON with comments; without it, the file that the platform names.
        #[arg(long, value_name = "FILE")]
        settings: Option<path::PathBuf>,
    },
    /// Checks declarations or settings and lists every problem as FILE:LINE: CODE: FIELD: DETAIL.
    Check {
        /// Files; several files of declarations are checked as one whole.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<path::PathBuf>,
        /// Output format.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Applies declarations as a whole and waits until they are in force on all hosts.
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
    /// Explains a result code, or tells the story of a request from the logs of all hosts.
    Explain {
        /// Number, such as 2001, `all` for the whole table, or the id of a request.
        #[arg(value_name = "CODE|ID")]
        what: String,
        /// Logs of hosts; without any, standard input.
        #[arg(value_name = "LOG")]
        logs: Vec<path::PathBuf>,
    },
    /// Runs stand-ins and three hosts in this process on loopback and shows what the system does.
    Quickstart {
        /// Output format.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Runs one stand-in until it gets SIGTERM or SIGINT.
    Standin(Standin),
    /// Measures decisions, capacity or a host under load.
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
    /// Revision that the files were made against; without it, the one in force now.
    #[arg(long, value_name = "REVISION")]
    pub base: Option<u64>,
    /// Shows what would change and applies nothing.
    #[arg(long)]
    pub dry_run: bool,
    /// Longest time to wait until it is in force on all hosts, in seconds.
    #[arg(long, value_name = "SECONDS", default_value_t = 30)]
    pub wait: u64,
    /// File that holds the operators' bearer token.
    #[arg(long, value_name = "FILE")]
    pub token_file: Option<path::PathBuf>,
}

/// Arguments of `standin`.
#[derive(Debug, clap::Args)]
pub struct Standin {
    /// What to stand in for.
    #[arg(value_enum)]
    pub kind: StandinKind,
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0", value_name = "IP:PORT")]
    pub listen: std::net::SocketAddr,
    /// Version that an engine or plain service reports.
    #[arg(long, default_value = "v1")]
    pub version: String,
    /// Calls at a time that an engine bears just after a start.
    #[arg(long)]
    pub cold: Option<u32>,
    /// Calls at a time that an engine runs when warm.
    #[arg(long)]
    pub full: Option<u32>,
    /// Milliseconds between two tokens of an engine's stream.
    #[arg(long)]
    pub step_ms: Option<u64>,
    /// Microseconds that each further running call adds to the time between two tokens.
    #[arg(long)]
    pub slope_us: Option<u64>,
}

/// Kinds of stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum StandinKind {
    /// A model engine, encoder and reranker.
    Engine,
    /// A plain service with a call that may not be repeated, and a retriever.
    Plain,
    /// The platform's log.
    Log,
    /// The platform's host list.
    Hosts,
}

/// What `measure` measures.
#[derive(Debug, clap::Subcommand)]
pub enum Measure {
    /// Decisions against their baselines, under logical time.
    Decisions {
        /// Seed of all random choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Output format.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Slopes of state, time and messages against size.
    Capacity {
        /// Output format.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Hosts under a steady load of streamed requests, beside direct calls to the engine.
    Load(Load),
}

/// Arguments of `measure load`. What is left out makes the design load of one host.
#[derive(Debug, clap::Args)]
pub struct Load {
    /// URLs of running hosts, taken in turn.
    #[arg(long, required = true, value_name = "URL")]
    pub to: Vec<String>,
    /// URL of an engine behind the pipeline, for direct calls in the same run.
    #[arg(long, value_name = "URL")]
    pub engine: Option<String>,
    /// Process id of the host, for its memory and processor time.
    #[arg(long)]
    pub pid: Option<u32>,
    /// Bearer key of a workspace.
    #[arg(long, default_value = "load-key")]
    pub key: String,
    /// Pipeline of one generating stage.
    #[arg(long, default_value = "generate")]
    pub pipeline: String,
    /// New requests a second.
    #[arg(long, default_value_t = 45.0)]
    pub rate: f64,
    /// Tokens of each answer.
    #[arg(long, default_value_t = 244)]
    pub tokens: u32,
    /// Length of the load in seconds.
    #[arg(long, default_value_t = 30)]
    pub seconds: u64,
    /// Output format.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    pub format: Format,
}

/// Output formats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// For people.
    Text,
    /// JSON, for programs.
    Json,
}
