//! Decoded declarations before validation. References keep their location for messages.

use std::net;
use std::time;

use sequoiacrank_kernel::plan;

use crate::read;
use crate::tree;

/// Name of an object that is declared elsewhere.
pub type Reference = read::Located<String>;

/// All sections of the declarations.
#[derive(Clone, Debug)]
pub struct Document {
    /// Availability zones.
    pub zones: read::Named<Zone>,
    /// Workspaces.
    pub workspaces: read::Named<Workspace>,
    /// Services.
    pub services: read::Named<Service>,
    /// Endpoints.
    pub endpoints: read::Named<Endpoint>,
    /// Pipelines.
    pub pipelines: read::Named<Pipeline>,
    /// Routes.
    pub routes: read::Named<Route>,
    /// Moves.
    pub moves: read::Named<Move>,
    /// Policies.
    pub policies: Policies,
}

/// An availability zone.
#[derive(Clone, Debug)]
pub struct Zone {
    /// Region of the zone.
    pub region: String,
    /// Whether operators took the zone out of service; written as a state, `in` or `out`.
    pub out: bool,
}

/// A workspace.
#[derive(Clone, Debug)]
pub struct Workspace {
    /// Share in queues relative to other workspaces.
    pub weight: read::Located<u32>,
    /// Hashes of its bearer keys, each written as `sha256:` and 64 hexadecimal digits.
    pub keys: Vec<KeyHash>,
}

/// SHA-256 hash of a bearer key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyHash(pub [u8; 32]);

/// A service.
#[derive(Clone, Debug)]
pub struct Service {
    /// What its endpoints do.
    pub kind: plan::Kind,
    /// Version that receives all traffic unless a move is under way.
    pub version: Reference,
    /// Concurrent calls that an endpoint can take right after its start.
    pub cold: read::Located<u32>,
    /// Upper bound of concurrent calls on a warm endpoint.
    pub full: read::Located<u32>,
    /// Whether endpoints reject commands with an outdated fencing token.
    pub fenced: bool,
}

/// An endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Service that it belongs to.
    pub service: Reference,
    /// Version that it runs.
    pub version: String,
    /// Availability zone of the endpoint.
    pub zone: Reference,
    /// Address that it listens on.
    pub address: read::Located<net::SocketAddr>,
    /// Whether it is to be removed; written as a state, `serving` or `leaving`.
    pub leaving: bool,
}

/// A pipeline.
#[derive(Clone, Debug)]
pub struct Pipeline {
    /// Time limit from the arrival of a request to its complete answer.
    pub deadline: read::Located<time::Duration>,
    /// Priority class of its requests.
    pub class: plan::Class,
    /// Stages in the order of execution.
    pub stages: read::Located<Vec<Stage>>,
}

/// A stage.
#[derive(Clone, Debug)]
pub struct Stage {
    /// Name, unique within the pipeline.
    pub id: read::Located<String>,
    /// Service whose endpoints run the stage.
    pub service: Reference,
    /// HTTP path of the call; the default depends on the kind of the service.
    pub path: Option<read::Located<String>>,
    /// Whether the stage is idempotent and may be retried.
    pub idempotent: bool,
    /// Timeout for an endpoint that sends nothing during a call.
    pub idle: read::Located<time::Duration>,
}

/// A route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Pipeline that the route leads to.
    pub pipeline: Reference,
    /// Workspaces that may use the route.
    pub workspaces: Vec<Reference>,
}

/// A move of a service's traffic from one version to another.
#[derive(Clone, Debug)]
pub struct Move {
    /// Service whose traffic is moved.
    pub service: Reference,
    /// Version that it moves from.
    pub from: Reference,
    /// Version that it moves to.
    pub to: Reference,
    /// Earliest start.
    pub start: read::Located<time::SystemTime>,
    /// Time by which it must be completed or taken back.
    pub finish: read::Located<time::SystemTime>,
    /// Largest share of requests, in thousandths, that the new version receives before it is judged
    /// good.
    pub early: read::Located<u32>,
}

/// Names of the policies; a missing one means the default.
#[derive(Clone, Debug, Default)]
pub struct Policies {
    /// Policy that limits concurrent calls on an endpoint.
    pub limit: Option<Reference>,
    /// Policy that chooses an endpoint for a call.
    pub placement: Option<Reference>,
    /// Policy that orders waiting calls.
    pub queue: Option<Reference>,
    /// Policy that decides whether a failed stage is retried.
    pub retry: Option<Reference>,
    /// Policy that judges a new version.
    pub judge: Option<Reference>,
}

/// Default timeout of a stage for an endpoint that sends nothing during a call.
const DEFAULT_IDLE: time::Duration = time::Duration::from_secs(10);
/// Default share of requests, in thousandths, that a move may send to an unproven version.
const DEFAULT_EARLY_PER_MILLE: u32 = 50;

/// Gives a default value the location of the object that it belongs to.
fn located<T>(node: &tree::Node, value: T) -> read::Located<T> {
    read::Located { location: node.location.clone(), path: node.path.clone(), value }
}

impl read::Decode for Document {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let mut fields = read::Reader::new(node, sink)?;
        let zones = fields.required("zones");
        let workspaces = fields.required("workspaces");
        let services = fields.required("services");
        let endpoints = fields.required("endpoints");
        let pipelines = fields.required("pipelines");
        let routes = fields.required("routes");
        let moves = fields.with_default("moves", read::Named::default());
        let policies = fields.with_default("policies", Policies::default());
        fields.finish();
        // A section that can't be decoded counts as empty, since its problems are already reported.
        Some(Document {
            zones: zones.unwrap_or_default(),
            workspaces: workspaces.unwrap_or_default(),
            services: services.unwrap_or_default(),
            endpoints: endpoints.unwrap_or_default(),
            pipelines: pipelines.unwrap_or_default(),
            routes: routes.unwrap_or_default(),
            moves: moves.unwrap_or_default(),
            policies: policies.unwrap_or_default(),
        })
    }
}

impl read::Decode for Zone {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let mut fields = read::Reader::new(node, sink)?;
        let region = fields.required("region");
        let state = fields.with_default("state", ZoneState::In);
        fields.finish();
        Some(Zone { region: region?, out: state? == ZoneState::Out })
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ZoneState {
    In,
    Out,
}

impl read::Decode for ZoneState {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        read::parse_string(node, sink, "\"in\" or \"out\"", |text| match text {
            "in" => Some(ZoneState::In),
            "out" => Some(ZoneState::Out),
            _ => None,
        })
    }
}

impl read::Decode for Workspace {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let mut fields = read::Reader::new(node, sink)?;
        let weight = fields.with_default("weight", located(node, 1));
        let keys = fields.required("keys");
        fields.finish();
        Some(Workspace { weight: weight?, keys: keys? })
    }
}

impl read::Decode for KeyHash {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        read::parse_string(node, sink, "\"sha256:\" and 64 hexadecimal digits", |text| {
            let digits = text.strip_prefix("sha256:").filter(|d| d.len() == 64 && d.is_ascii())?;
            let mut hash = [0; 32];
            for (i, byte) in hash.iter_mut().enumerate() {
                *byte = u8::from_str_radix(&digits[2 * i..2 * i + 2], 16).ok()?;
            }
            Some(KeyHash(hash))
        })
    }
}

impl read::Decode for plan::Kind {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let expected = "\"generate\", \"embed\", \"rerank\", \"retrieve\" or \"plain\"";
        read::parse_string(node, sink, expected, |text| match text {
            "generate" => Some(plan::Kind::Generate),
            "embed" => Some(plan::Kind::Embed),
            "rerank" => Some(plan::Kind::Rerank),
            "retrieve" => Some(plan::Kind::Retrieve),
            "plain" => Some(plan::Kind::Plain),
            _ => None,
        })
    }
}

impl read::Decode for Service {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let mut fields = read::Reader::new(node, sink)?;
        let kind = fields.required("kind");
        let version = fields.required("version");
        let cold = fields.required("cold");
        let full = fields.required("full");
        let fenced = fields.with_default("fenced", false);
        fields.finish();
        Some(Service { kind: kind?, version: version?, cold: cold?, full: full?, fenced: fenced? })
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum EndpointState {
    Serving,
    Leaving,
}

impl read::Decode for EndpointState {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        read::parse_string(node, sink, "\"serving\" or \"leaving\"", |text| match text {
            "serving" => Some(EndpointState::Serving),
            "leaving" => Some(EndpointState::Leaving),
            _ => None,
        })
    }
}

impl read::Decode for Endpoint {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let mut fields = read::Reader::new(node, sink)?;
        let service = fields.required("service");
        let version = fields.required("version");
        let zone = fields.required("zone");
        let address = fields.required("address");
        let state = fields.with_default("state", EndpointState::Serving);
        fields.finish();
        Some(Endpoint {
            service: service?,
            version: version?,
            zone: zone?,
            address: address?,
            leaving: state? == EndpointState::Leaving,
        })
    }
}

impl read::Decode for plan::Class {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let expected = "\"urgent\", \"normal\" or \"patient\"";
        read::parse_string(node, sink, expected, |text| match text {
            "urgent" => Some(plan::Class::Urgent),
            "normal" => Some(plan::Class::Normal),
            "patient" => Some(plan::Class::Patient),
            _ => None,
        })
    }
}

impl read::Decode for Pipeline {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let mut fields = read::Reader::new(node, sink)?;
        let deadline = fields.required("deadline");
        let class = fields.with_default("class", plan::Class::Normal);
        let stages = fields.required("stages");
        fields.finish();
        Some(Pipeline { deadline: deadline?, class: class?, stages: stages? })
    }
}

impl read::Decode for Stage {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let mut fields = read::Reader::new(node, sink)?;
        let id = fields.required("id");
        let service = fields.required("service");
        let path = fields.optional("path");
        let idempotent = fields.with_default("idempotent", true);
        let idle = fields.with_default("idle", located(node, DEFAULT_IDLE));
        fields.finish();
        Some(Stage {
            id: id?,
            service: service?,
            path: path?,
            idempotent: idempotent?,
            idle: idle?,
        })
    }
}

impl read::Decode for Route {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let mut fields = read::Reader::new(node, sink)?;
        let pipeline = fields.required("pipeline");
        let workspaces = fields.required("workspaces");
        fields.finish();
        Some(Route { pipeline: pipeline?, workspaces: workspaces? })
    }
}

impl read::Decode for Move {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let mut fields = read::Reader::new(node, sink)?;
        let service = fields.required("service");
        let from = fields.required("from");
        let to = fields.required("to");
        let start = fields.required("start");
        let finish = fields.required("finish");
        let early = fields.with_default("early_per_mille", located(node, DEFAULT_EARLY_PER_MILLE));
        fields.finish();
        Some(Move {
            service: service?,
            from: from?,
            to: to?,
            start: start?,
            finish: finish?,
            early: early?,
        })
    }
}

impl read::Decode for Policies {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let mut fields = read::Reader::new(node, sink)?;
        let limit = fields.optional("limit");
        let placement = fields.optional("placement");
        let queue = fields.optional("queue");
        let retry = fields.optional("retry");
        let judge = fields.optional("judge");
        fields.finish();
        Some(Policies {
            limit: limit?,
            placement: placement?,
            queue: queue?,
            retry: retry?,
            judge: judge?,
        })
    }
}
