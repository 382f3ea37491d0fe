//! Declarations of a test site.

use std::net;
use std::time;

use serde_json::json;
use sha2::Digest as _;

/// An endpoint to declare.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Version.
    pub version: String,
    /// Availability zone.
    pub zone: String,
    /// Address it listens on.
    pub address: net::SocketAddr,
}

/// A service to declare.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name.
    pub id: String,
    /// Kind, as written in declarations.
    pub kind: String,
    /// Concurrent calls that a cold endpoint sustains.
    pub cold: u32,
    /// Concurrent calls that a warm endpoint sustains.
    pub full: u32,
}

/// A move to declare.
#[derive(Clone, Debug)]
pub struct Move {
    /// Name.
    pub id: String,
    /// Name of the service.
    pub service: String,
    /// Start.
    pub start: time::SystemTime,
    /// Latest end.
    pub finish: time::SystemTime,
    /// Largest share of requests on the new version before it is judged good, in thousandths.
    pub early_share: u32,
}

/// All declarations of a site.
#[derive(Clone, Debug, Default)]
pub struct Declarations {
    /// All availability zones, including those in `out_zones`.
    pub zones: Vec<String>,
    /// Availability zones that are out of service.
    pub out_zones: Vec<String>,
    /// Bearer key of the only workspace.
    pub key: String,
    /// Services.
    pub services: Vec<Service>,
    /// Endpoints.
    pub endpoints: Vec<Endpoint>,
    /// Moves, each from version `v1` to `v2`.
    pub moves: Vec<Move>,
}

/// Name of the pipeline with four stages.
pub const APPRAISE: &str = "appraise";
/// Name of the pipeline whose only stage may run at most once.
pub const BID: &str = "bid";

impl Declarations {
    /// The declarations as JSON text.
    pub fn text(&self) -> String {
        let zones = self.zones.iter().map(|zone| {
            let state = if self.out_zones.contains(zone) { "out" } else { "in" };
            (zone.clone(), json!({"region": "loopback", "state": state}))
        });
        let services = self.services.iter().map(|service| {
            let Service { id, kind, cold, full } = service;
            (id.clone(), json!({"kind": kind, "version": "v1", "cold": cold, "full": full}))
        });
        let endpoints = self.endpoints.iter().map(|endpoint| {
            let Endpoint { id, service, version, zone, address } = endpoint;
            let address = address.to_string();
            let body =
                json!({"service": service, "version": version, "zone": zone, "address": address});
            (id.clone(), body)
        });
        let moves = self.moves.iter().map(|entry| {
            let body = json!({"service": entry.service, "from": "v1", "to": "v2",
                "start": rfc3339(entry.start), "finish": rfc3339(entry.finish),
                "early_per_mille": entry.early_share});
            (entry.id.clone(), body)
        });
        let document = json!({
            "zones": object(zones),
            "workspaces": {"visitor": {"keys": [hash_key(&self.key)]}},
            "services": object(services),
            "endpoints": object(endpoints),
            "pipelines": pipelines(),
            "routes": {
                "appraisals": {"pipeline": APPRAISE, "workspaces": ["visitor"]},
                "bids": {"pipeline": BID, "workspaces": ["visitor"]},
            },
            "moves": object(moves),
        });
        format!("{document:#}")
    }
}

fn pipelines() -> serde_json::Value {
    json!({
        APPRAISE: {"deadline": "12s", "stages": [
            {"id": "encode", "service": "encoder"},
            {"id": "retrieve", "service": "catalogue"},
            {"id": "rerank", "service": "ranker"},
            {"id": "generate", "service": "model"},
        ]},
        BID: {"deadline": "6s", "class": "urgent", "stages": [
            {"id": "place", "service": "desk", "path": "/v1/bids", "idempotent": false},
        ]},
    })
}

fn object<I>(fields: I) -> serde_json::Value
where
    I: Iterator<Item = (String, serde_json::Value)>,
{
    serde_json::Value::Object(fields.collect())
}

fn rfc3339(at: time::SystemTime) -> String {
    humantime::format_rfc3339_millis(at).to_string()
}

/// Hash of a bearer key, as written in declarations.
pub fn hash_key(key: &str) -> String {
    let digest = sha2::Sha256::digest(key.as_bytes());
    let digits: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("sha256:{digits}")
}
