//! The account of the memory that connections hold.

use std::collections;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use sequoiacrank_kernel::edge::memory;

const BUDGET: usize = 8 << 20;
const LARGEST: usize = 1 << 20;
const FRAME: usize = 16 << 10;
const SEEDS: u64 = 200;
const STEPS: usize = 2_000;

fn account() -> memory::Account {
    let mut account = memory::Account::new(BUDGET);
    assert!(!account.set_largest(LARGEST));
    account
}

fn at(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// Grows a holder in frames until it is not granted; returns the bytes that were granted.
fn fill(account: &mut memory::Account, now: time::Duration, id: u64, bytes: usize) -> usize {
    let mut held = 0;
    while held < bytes {
        let more = FRAME.min(bytes - held);
        if account.request(now, id, more) != memory::Decision::Granted {
            break;
        }
        held += more;
    }
    held
}

/// What the model knows of a holder.
#[derive(Default)]
struct Model {
    bytes: usize,
    /// Bytes of a message that are granted without room.
    first: usize,
    waits: bool,
    complete: bool,
    evicted: bool,
    progressed: time::Duration,
}

/// Guards against a budget that is exceeded, bytes that are lost from the account, eviction of
/// holders that are complete, wait or have made progress, and eviction out of order.
#[test]
fn sequences_follow_the_model() {
    for seed in 0..SEEDS {
        let mut random = rand::rngs::SmallRng::seed_from_u64(seed);
        let mut account = account();
        let mut model: collections::BTreeMap<u64, Model> = collections::BTreeMap::new();
        let (mut now, mut connections) = (at(0), 0);
        for _ in 0..STEPS {
            now += at(random.random_range(0..40));
            let ids: Vec<_> = model.keys().copied().collect();
            let id = ids.get(random.random_range(0..ids.len().max(1))).copied();
            match (random.random_range(0..20), id) {
                (0..2, _) => {
                    let class = match random.random_range(0..5) {
                        4 => memory::Class::Control,
                        0 => memory::Class::Small,
                        3 => memory::Class::Message,
                        1 => memory::Class::Request,
                        _ => memory::Class::Answer,
                    };
                    let complete = matches!(class, memory::Class::Answer | memory::Class::Control);
                    let is_message = class == memory::Class::Message;
                    let first = if is_message { memory::MESSAGE_BYTES } else { 0 };
                    let holder = Model { complete, first, progressed: now, ..Model::default() };
                    model.insert(account.open(now, class), holder);
                }
                (2, Some(id)) => {
                    account.close(id);
                    model.remove(&id);
                }
                (3, Some(id)) => {
                    account.complete(id);
                    model.get_mut(&id).unwrap().complete = true;
                }
                (4, Some(id)) => {
                    let holder = model.get_mut(&id).unwrap();
                    let bytes = random.random_range(0..=holder.bytes);
                    account.release(id, bytes);
                    holder.bytes -= bytes;
                }
                (5, _) if account.has_connection_room() => {
                    account.open_connection();
                    connections += 1;
                }
                (6, _) if connections > 0 => {
                    account.close_connection();
                    connections -= 1;
                }
                (7.., Some(id)) => {
                    let more = random.random_range(1..256 << 10);
                    step(&mut account, &mut model, now, id, more);
                }
                _ => {}
            }
            let held: usize = model.values().map(|it| it.bytes).sum();
            assert_eq!(account.held(), held + connections * memory::CONNECTION_BYTES, "{seed}");
            // Only the first bytes of messages are granted beyond the budget.
            let first: usize = model.values().map(|it| it.bytes.min(it.first)).sum();
            assert!(account.held() <= BUDGET + first, "{seed}: {} bytes", account.held());
        }
        model.keys().for_each(|id| account.close(*id));
        (0..connections).for_each(|_| account.close_connection());
        assert_eq!(account.held(), 0, "{seed}");
    }
}

/// Requests memory and compares the outcome with the model.
fn step(
    account: &mut memory::Account,
    model: &mut collections::BTreeMap<u64, Model>,
    now: time::Duration,
    id: u64,
    more: usize,
) {
    match account.request(now, id, more) {
        memory::Decision::Granted => {
            let holder = model.get_mut(&id).unwrap();
            holder.bytes += more;
            (holder.waits, holder.progressed) = (false, now);
        }
        memory::Decision::Refused => {
            let holder = model.get_mut(&id).unwrap();
            (holder.waits, holder.progressed) = (false, now);
        }
        memory::Decision::Wait { evicted, until } => {
            assert!(until > now, "a wait that is over keeps the process busy");
            model.get_mut(&id).unwrap().waits = true;
            let mut last = time::Duration::ZERO;
            for one in &evicted {
                let holder = model.get_mut(one).unwrap();
                assert!(!holder.complete && !holder.waits && !holder.evicted && holder.bytes > 0);
                assert!(now >= holder.progressed + memory::STALL_TIME);
                assert!(holder.progressed >= last, "not the longest without progress first");
                last = holder.progressed;
                holder.evicted = true;
            }
        }
    }
}

/// Guards against limits that a lawful client meets although nothing else is held.
#[test]
fn largest_body_fits_beside_all_connections() {
    for (budget, largest) in [(BUDGET, LARGEST), (30_000_000, 4 << 20), (1 << 20, 4 << 20)] {
        let mut account = memory::Account::new(budget);
        account.set_largest(largest);
        (0..account.max_connections()).for_each(|_| account.open_connection());
        let id = account.open(at(0), memory::Class::Request);
        assert_eq!(fill(&mut account, at(0), id, largest), largest, "{budget} {largest}");
    }
}

/// Guards against a budget below the largest body, and against one that stays raised.
#[test]
fn budget_is_raised_for_the_largest_body() {
    let mut account = memory::Account::new(BUDGET);
    assert!(account.set_largest(BUDGET));
    assert_eq!(account.budget(), 2 * BUDGET);
    assert!(!account.set_largest(LARGEST));
    assert_eq!(account.budget(), BUDGET);
}

/// Guards against large bodies that take the room of small ones, and of answers.
#[test]
fn small_bodies_and_answers_go_on_beside_large_ones() {
    let mut account = account();
    for _ in 0..16 {
        let id = account.open(at(0), memory::Class::Request);
        fill(&mut account, at(0), id, LARGEST);
    }
    let answer = account.open(at(1), memory::Class::Answer);
    assert_eq!(fill(&mut account, at(1), answer, LARGEST - FRAME), LARGEST - FRAME);
    for _ in 0..8 {
        let id = account.open(at(1), memory::Class::Small);
        assert_eq!(fill(&mut account, at(1), id, memory::SMALL_BYTES), memory::SMALL_BYTES);
    }
}

/// Guards against a connection of a host that is closed for lack of memory although it needs no more.
#[test]
fn nothing_more_is_granted_when_the_budget_is_used_up() {
    let mut account = account();
    let message = account.open(at(0), memory::Class::Message);
    fill(&mut account, at(0), message, 2 * memory::MESSAGE_BYTES);
    while account.has_connection_room() {
        account.open_connection();
    }
    assert_eq!(account.request(at(0), message, 0), memory::Decision::Granted);
}

/// Guards against bodies that stall and keep their memory, and against a refusal while that memory
/// is being released.
#[test]
fn longest_without_progress_is_evicted() {
    let mut account = account();
    let mut ids = Vec::new();
    for millis in 0..6 {
        let id = account.open(at(millis), memory::Class::Request);
        fill(&mut account, at(millis), id, LARGEST);
        ids.push(id);
    }
    account.record_progress(at(400), ids[0]);
    account.complete(ids[1]);
    let new = account.open(at(450), memory::Class::Request);
    let early = account.request(at(450), new, FRAME);
    assert_eq!(early, memory::Decision::Wait { evicted: vec![], until: at(502) });
    let due = account.request(at(502), new, FRAME);
    assert_eq!(due, memory::Decision::Wait { evicted: vec![ids[2]], until: at(522) });
    let late = account.request(at(800), new, FRAME);
    assert!(matches!(late, memory::Decision::Wait { .. }), "{late:?}");
    account.close(ids[2]);
    assert_eq!(account.request(at(801), new, FRAME), memory::Decision::Granted);
}

/// Guards against a holder that waits without end for bodies that make progress.
#[test]
fn refused_after_the_wait() {
    let mut account = account();
    for _ in 0..6 {
        let id = account.open(at(0), memory::Class::Request);
        fill(&mut account, at(0), id, LARGEST);
    }
    let new = account.open(at(10), memory::Class::Request);
    let wait = account.request(at(10), new, FRAME);
    assert_eq!(wait, memory::Decision::Wait { evicted: vec![], until: at(260) });
    assert_eq!(account.request(at(260), new, FRAME), memory::Decision::Refused);
}

/// Guards against eviction of a body that makes no progress only because it waits for room itself.
#[test]
fn waiting_bodies_are_not_evicted() {
    let mut account = account();
    let waiting = account.open(at(0), memory::Class::Request);
    assert_eq!(fill(&mut account, at(0), waiting, FRAME), FRAME);
    for _ in 0..6 {
        let id = account.open(at(0), memory::Class::Request);
        fill(&mut account, at(0), id, LARGEST);
        account.complete(id);
    }
    assert!(matches!(account.request(at(0), waiting, LARGEST), memory::Decision::Wait { .. }));
    let other = account.open(at(600), memory::Class::Request);
    let decision = account.request(at(600), other, FRAME);
    assert_eq!(decision, memory::Decision::Wait { evicted: vec![], until: at(850) });
}

/// Guards against a crowd of which each gets a part of the budget and none enough to end.
#[test]
fn first_of_a_crowd_end_and_last_are_refused() {
    let mut account = account();
    let mut left: collections::BTreeMap<u64, usize> =
        (0..50).map(|_| (account.open(at(0), memory::Class::Request), LARGEST)).collect();
    let (mut ended, mut refused) = (Vec::new(), Vec::new());
    for millis in (0..2_000).step_by(5) {
        for id in left.keys().copied().collect::<Vec<_>>() {
            match account.request(at(millis), id, FRAME) {
                memory::Decision::Granted => *left.get_mut(&id).unwrap() -= FRAME,
                memory::Decision::Wait { evicted, .. } => assert!(evicted.is_empty()),
                memory::Decision::Refused => {
                    account.close(id);
                    left.remove(&id);
                    refused.push(id);
                }
            }
            if left.get(&id) == Some(&0) {
                account.complete(id);
                left.remove(&id);
                ended.push(id);
            }
        }
    }
    // Six megabytes hold the bodies of six requests, which do not end here.
    assert_eq!(ended, (1..=6).collect::<Vec<_>>());
    assert_eq!(refused, (7..=50).rev().collect::<Vec<_>>());
}

/// Guards against messages that take the reserve of small bodies.
#[test]
fn long_messages_leave_the_reserve() {
    let mut account = account();
    for _ in 0..16 {
        let id = account.open(at(0), memory::Class::Message);
        fill(&mut account, at(0), id, LARGEST);
    }
    let id = account.open(at(1), memory::Class::Small);
    assert_eq!(fill(&mut account, at(1), id, memory::SMALL_BYTES), memory::SMALL_BYTES);
}

/// Guards against closing a caller that reads slowly, and against keeping the one that has not read
/// for longest.
#[test]
fn longest_blocked_is_closed() {
    let blocked = [(at(300), 1), (at(100), 2), (at(200), 3)];
    assert_eq!(memory::longest_blocked(at(1_099), blocked), None);
    assert_eq!(memory::longest_blocked(at(1_100), blocked), Some(2));
    assert_eq!(memory::longest_blocked(at(1_100), []), None);
}

/// Guards against a new link of a host that is closed as it gets no memory for its first message.
#[test]
fn first_bytes_of_messages_are_granted() {
    let mut account = account();
    while account.has_connection_room() {
        account.open_connection();
    }
    let message = account.open(at(0), memory::Class::Message);
    let first = account.request(at(0), message, memory::MESSAGE_BYTES);
    assert_eq!(first, memory::Decision::Granted);
    assert!(matches!(account.request(at(0), message, 1), memory::Decision::Wait { .. }));
}

/// Guards against endless answers of endpoints that keep the host from reading its configuration.
#[test]
fn answers_of_the_store_go_on_beside_those_of_endpoints() {
    let mut account = account();
    for _ in 0..16 {
        let id = account.open(at(0), memory::Class::Answer);
        fill(&mut account, at(0), id, LARGEST);
    }
    let id = account.open(at(1), memory::Class::Control);
    let size = 4 * memory::SMALL_BYTES;
    assert_eq!(fill(&mut account, at(1), id, size), size);
}
