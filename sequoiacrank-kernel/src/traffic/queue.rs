//! Queues of waiting calls: by class, then fair between workspaces, then by due time; and a plain
//! FIFO queue as a baseline.

use std::collections;

use crate::id;
use crate::map;
use crate::plan;
use crate::policy;

/// One in this many calls is taken from the classes below urgent if any such call waits.
const NON_URGENT_EVERY: u64 = 8;
/// One in this many of the non-urgent calls is a patient one if any such call waits.
const PATIENT_EVERY: u64 = 4;
/// One in this many slots is reserved for urgent calls.
const URGENT_RESERVE: u32 = 8;

/// Calls of one workspace in a class, by due time.
#[derive(Default)]
struct Flow {
    calls: collections::BTreeMap<(id::Time, id::RequestId), policy::Waiting>,
    /// Virtual time at which the next call is served: the weighted tokens served so far.
    start: f64,
    /// Tokens of the waiting calls.
    tokens: u64,
    weight: u32,
}

/// Calls of one class in fair order: the workspace with the fewest weighted tokens served goes
/// first.
#[derive(Default)]
struct ClassQueue {
    flows: map::FastMap<id::WorkspaceId, Flow>,
    /// Workspaces with waiting calls, by virtual start time.
    order: collections::BTreeMap<(u64, id::WorkspaceId), ()>,
    /// Largest virtual start time of a served call.
    virtual_time: f64,
    calls: usize,
    /// Tokens of all waiting calls.
    tokens: u64,
    /// Sum of the weights of the workspaces with waiting calls.
    weights: u64,
}

/// Maps a non-negative virtual time to an integer of the same order.
fn order_key(start: f64) -> u64 {
    start.max(0.0).to_bits()
}

impl ClassQueue {
    fn push(&mut self, call: policy::Waiting) {
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(call.workspace.clone()).or_default();
        if flow.calls.is_empty() {
            flow.start = flow.start.max(virtual_time);
            flow.weight = call.weight.max(1);
            self.weights += u64::from(flow.weight);
            self.order.insert((order_key(flow.start), call.workspace.clone()), ());
        }
        flow.tokens += u64::from(call.tokens);
        self.tokens += u64::from(call.tokens);
        self.calls += 1;
        flow.calls.insert((call.due, call.request), call);
    }

    fn pop(&mut self) -> Option<policy::Waiting> {
        let ((_, workspace), ()) = self.order.first_key_value()?;
        let workspace = workspace.clone();
        let key = *self.flows.get(&workspace)?.calls.first_key_value()?.0;
        let call = self.take(&workspace, key, true)?;
        self.prune();
        Some(call)
    }

    /// Removes a call. If it is `served`, its weighted tokens are added to its workspace's start
    /// time.
    fn take(
        &mut self,
        workspace: &str,
        key: (id::Time, id::RequestId),
        served: bool,
    ) -> Option<policy::Waiting> {
        let flow = self.flows.get_mut(workspace)?;
        let call = flow.calls.remove(&key)?;
        self.order.remove(&(order_key(flow.start), call.workspace.clone()));
        if served {
            self.virtual_time = self.virtual_time.max(flow.start);
            flow.start += f64::from(call.tokens.max(1)) / f64::from(flow.weight);
        }
        flow.tokens -= u64::from(call.tokens);
        self.tokens -= u64::from(call.tokens);
        self.calls -= 1;
        if flow.calls.is_empty() {
            self.weights -= u64::from(flow.weight);
        } else {
            self.order.insert((order_key(flow.start), call.workspace.clone()), ());
        }
        Some(call)
    }

    /// Drops idle workspaces. While calls wait, those are kept that were served beyond the current
    /// virtual time, so that they can't regain that share by going idle.
    fn prune(&mut self) {
        if self.calls == 0 {
            self.flows.clear();
            self.virtual_time = 0.0;
        } else if self.flows.len() > 2 * self.order.len() + 64 {
            let virtual_time = self.virtual_time;
            self.flows.retain(|_, flow| !flow.calls.is_empty() || flow.start > virtual_time);
        }
    }

    /// Tokens that are served before `call`.
    fn ahead(&self, call: &policy::Waiting) -> u64 {
        let Some(flow) = self.flows.get(&call.workspace) else {
            return self.others_tokens(call, 0);
        };
        let own: u64 =
            flow.calls.range(..=(call.due, call.request)).map(|(_, c)| u64::from(c.tokens)).sum();
        own + self.others_tokens(call, own).min(self.tokens - flow.tokens)
    }

    /// Tokens of other workspaces that are served while this workspace is served `own` tokens and
    /// the call.
    fn others_tokens(&self, call: &policy::Waiting, own: u64) -> u64 {
        let weight = u64::from(call.weight.max(1));
        let share = (own + u64::from(call.tokens)) * self.weights.saturating_sub(weight) / weight;
        share.min(self.tokens)
    }
}

/// Serves urgent calls first with a minimum share for the others; within a class fairly between
/// workspaces, then by due time.
#[derive(Default)]
struct FairDeadline {
    classes: [ClassQueue; 3],
    /// Class, workspace and due time of each waiting call.
    positions: map::FastMap<id::RequestId, (usize, id::WorkspaceId, id::Time)>,
    by_due: collections::BTreeSet<(id::Time, id::RequestId)>,
    /// Calls taken so far.
    popped: u64,
    /// Calls below the urgent class taken so far.
    popped_others: u64,
}

fn class_index(class: plan::Class) -> usize {
    match class {
        plan::Class::Urgent => 0,
        plan::Class::Normal => 1,
        plan::Class::Patient => 2,
    }
}

impl FairDeadline {
    /// Index of the class that is served next.
    fn next_class(&self) -> usize {
        let [urgent, normal, patient] = [0, 1, 2].map(|i: usize| self.classes[i].calls > 0);
        let rest = normal || patient;
        if !rest || (urgent && !(self.popped + 1).is_multiple_of(NON_URGENT_EVERY)) {
            return 0;
        }
        match (normal, patient) {
            (true, true) if (self.popped_others + 1).is_multiple_of(PATIENT_EVERY) => 2,
            (true, _) => 1,
            (false, _) => 2,
        }
    }
}

impl policy::Queue for FairDeadline {
    fn push(&mut self, call: policy::Waiting) {
        let class = class_index(call.class);
        self.positions.insert(call.request, (class, call.workspace.clone(), call.due));
        self.by_due.insert((call.due, call.request));
        self.classes[class].push(call);
    }

    fn pop(&mut self, _now: id::Time) -> Option<policy::Waiting> {
        if self.positions.is_empty() {
            return None;
        }
        let class = self.next_class();
        let call = self.classes[class].pop()?;
        self.popped += 1;
        self.popped_others += u64::from(class > 0);
        self.positions.remove(&call.request);
        self.by_due.remove(&(call.due, call.request));
        Some(call)
    }

    fn remove(&mut self, request: id::RequestId) -> Option<policy::Waiting> {
        let (class, workspace, due) = self.positions.remove(&request)?;
        self.by_due.remove(&(due, request));
        let call = self.classes[class].take(&workspace, (due, request), false);
        self.classes[class].prune();
        call
    }

    fn expired(&mut self, now: id::Time) -> Vec<policy::Waiting> {
        let late: Vec<id::RequestId> =
            self.by_due.iter().take_while(|(due, _)| *due < now).map(|(_, id)| *id).collect();
        late.into_iter().filter_map(|request| self.remove(request)).collect()
    }

    fn len(&self) -> usize {
        self.positions.len()
    }

    fn has_urgent(&self) -> bool {
        self.classes[0].calls > 0
    }

    fn urgent_reserve(&self) -> u32 {
        URGENT_RESERVE
    }

    fn tokens_ahead(&self, call: &policy::Waiting) -> u64 {
        let own = class_index(call.class);
        let above: u64 = self.classes[..own].iter().map(|class| class.tokens).sum();
        above + self.classes[own].ahead(call)
    }
}

/// First in, first out.
#[derive(Default)]
struct Fifo {
    calls: collections::VecDeque<policy::Waiting>,
}

impl policy::Queue for Fifo {
    fn push(&mut self, call: policy::Waiting) {
        self.calls.push_back(call);
    }

    fn pop(&mut self, _now: id::Time) -> Option<policy::Waiting> {
        self.calls.pop_front()
    }

    fn remove(&mut self, request: id::RequestId) -> Option<policy::Waiting> {
        let at = self.calls.iter().position(|call| call.request == request)?;
        self.calls.remove(at)
    }

    fn expired(&mut self, now: id::Time) -> Vec<policy::Waiting> {
        let (late, rest): (Vec<_>, Vec<_>) = self.calls.drain(..).partition(|call| call.due < now);
        self.calls = rest.into();
        late
    }

    fn len(&self) -> usize {
        self.calls.len()
    }

    fn has_urgent(&self) -> bool {
        self.calls.iter().any(|call| call.class == plan::Class::Urgent)
    }

    fn tokens_ahead(&self, _call: &policy::Waiting) -> u64 {
        self.calls.iter().map(|call| u64::from(call.tokens)).sum()
    }
}

inventory::submit! {
    policy::QueuePlugin {
        name: "fair-deadline",
        about: "urgent first with a minimum for others, fair by workspace tokens, then by due time",
        make: || Box::new(FairDeadline::default()),
    }
}

inventory::submit! {
    policy::QueuePlugin {
        name: "fifo",
        about: "first in, first out, as a baseline",
        make: || Box::new(Fifo::default()),
    }
}
