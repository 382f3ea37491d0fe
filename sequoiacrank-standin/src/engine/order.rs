//! Operators' orders, which carry fencing numbers.

use serde::Deserialize;
use serde::Serialize;

/// An order, such as to load a model.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Order {
    /// Fencing number; an order with a number below the highest one accepted is outdated.
    pub(crate) fence: u64,
    /// Name of the model, adapter, version or role.
    pub(crate) name: String,
}

/// An order that was accepted.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Accepted {
    pub(crate) kind: String,
    pub(crate) fence: u64,
    pub(crate) name: String,
}

/// Orders accepted since the start of the process.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Orders {
    pub(crate) highest: u64,
    pub(crate) taken: Vec<Accepted>,
}

impl Orders {
    /// Accepts an order. Returns false if `fenced` is set and the order is outdated.
    pub(crate) fn accept(&mut self, kind: &str, order: &Order, fenced: bool) -> bool {
        if fenced && order.fence < self.highest {
            return false;
        }
        self.highest = self.highest.max(order.fence);
        let Order { fence, name } = order.clone();
        self.taken.push(Accepted { kind: kind.to_owned(), fence, name });
        true
    }
}
