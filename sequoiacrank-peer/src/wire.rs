//! Wire types of the protocol between hosts, generated from `proto/peer.proto`.

include!("generated/sequoiacrank.peer.v1.rs");
