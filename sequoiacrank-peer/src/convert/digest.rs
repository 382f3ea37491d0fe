//! Conversions of digests.

use sequoiacrank_kernel::message;

use crate::convert;
use crate::convert::scalar;
use crate::wire;

impl From<message::Digest> for wire::Digest {
    fn from(digest: message::Digest) -> Self {
        wire::Digest {
            endpoints: digest.endpoints.into_iter().map(Into::into).collect(),
            evidence: digest.evidence.into_iter().map(Into::into).collect(),
            suspects: digest.suspects.into_iter().map(Into::into).collect(),
            list: digest.list.map(Into::into),
        }
    }
}

impl TryFrom<wire::Digest> for message::Digest {
    type Error = convert::Error;

    fn try_from(digest: wire::Digest) -> Result<Self, Self::Error> {
        let endpoints: Result<_, _> = digest.endpoints.into_iter().map(TryInto::try_into).collect();
        Ok(message::Digest {
            endpoints: endpoints?,
            evidence: digest.evidence.into_iter().map(Into::into).collect(),
            suspects: digest.suspects.into_iter().map(Into::into).collect(),
            list: digest.list.map(TryInto::try_into).transpose()?,
        })
    }
}

impl From<message::ListSeen> for wire::ListSeen {
    fn from(list: message::ListSeen) -> Self {
        wire::ListSeen { hash: list.hash, age: scalar::wire_duration(list.age) }
    }
}

impl TryFrom<wire::ListSeen> for message::ListSeen {
    type Error = convert::Error;

    fn try_from(list: wire::ListSeen) -> Result<Self, Self::Error> {
        Ok(message::ListSeen { hash: list.hash, age: scalar::duration(list.age)? })
    }
}

impl From<message::EndpointDigest> for wire::EndpointDigest {
    fn from(digest: message::EndpointDigest) -> Self {
        wire::EndpointDigest {
            endpoint: digest.endpoint,
            generation: digest.generation,
            limit: digest.limit,
            flying: digest.in_flight,
            latency: scalar::wire_duration(digest.latency),
            finished: digest.finished,
        }
    }
}

impl TryFrom<wire::EndpointDigest> for message::EndpointDigest {
    type Error = convert::Error;

    fn try_from(digest: wire::EndpointDigest) -> Result<Self, Self::Error> {
        Ok(message::EndpointDigest {
            endpoint: digest.endpoint,
            generation: digest.generation,
            limit: digest.limit,
            in_flight: digest.flying,
            latency: scalar::duration(digest.latency)?,
            finished: digest.finished,
        })
    }
}

impl From<message::Evidence> for wire::Evidence {
    fn from(evidence: message::Evidence) -> Self {
        wire::Evidence {
            r#move: evidence.r#move,
            route: evidence.route,
            new: evidence.new,
            good: evidence.good,
            bad: evidence.bad,
            log_sum: evidence.log_sum,
            log_squares: evidence.log_squares,
        }
    }
}

impl From<wire::Evidence> for message::Evidence {
    fn from(evidence: wire::Evidence) -> Self {
        message::Evidence {
            r#move: evidence.r#move,
            route: evidence.route,
            new: evidence.new,
            good: evidence.good,
            bad: evidence.bad,
            log_sum: evidence.log_sum,
            log_squares: evidence.log_squares,
        }
    }
}

impl From<message::Suspect> for wire::Suspect {
    fn from(suspect: message::Suspect) -> Self {
        wire::Suspect { fingerprint: suspect.fingerprint, crashes: suspect.crashes }
    }
}

impl From<wire::Suspect> for message::Suspect {
    fn from(suspect: wire::Suspect) -> Self {
        message::Suspect { fingerprint: suspect.fingerprint, crashes: suspect.crashes }
    }
}
