//! The lease of the holder under delayed, lost and repeated appends, pauses, restarts and outages.

mod rules;
mod world;

use rand::RngExt as _;
use rand::SeedableRng as _;
use sequoiacrank_kernel::map;

use world::Event;

/// A history that breaks a guarantee, and which.
type Broken = (Vec<Event>, String);

/// All events of a world with `hosts` hosts, the ones that are no faults first.
fn events(hosts: usize) -> Vec<Event> {
    let mut all = vec![Event::Pass(1), Event::Pass(4), Event::Land(0)];
    let kinds: [fn(usize) -> Event; 10] = [
        Event::Run,
        Event::Finish,
        Event::Lose,
        Event::Delay,
        Event::Begin,
        Event::Send,
        Event::Restart,
        Event::Leave,
        Event::Doubt,
        Event::Fence,
    ];
    for kind in kinds {
        all.extend((0..hosts).map(kind));
    }
    all
}

/// Searches all histories from a state on, up to a number of events and of faults among them.
struct Search {
    events: Vec<Event>,
    /// Events and faults left for which a state was searched already.
    seen: map::FastMap<u64, Vec<(u32, u32)>>,
    history: Vec<Event>,
}

impl Search {
    fn new(hosts: usize) -> Self {
        Search { events: events(hosts), seen: map::FastMap::default(), history: Vec::new() }
    }

    fn run(&mut self, world: &world::World, depth: u32, faults: u32) -> Result<(), Broken> {
        if depth == 0 {
            return Ok(());
        }
        let searched = self.seen.entry(world.digest()).or_default();
        if searched.iter().any(|&(deep, many)| deep >= depth && many >= faults) {
            return Ok(());
        }
        searched.push((depth, faults));
        for event in self.events.clone() {
            let left = match event.is_fault() {
                true if faults == 0 => continue,
                true => faults - 1,
                false => faults,
            };
            let mut next = world.clone();
            if !next.apply(event) {
                continue;
            }
            self.history.push(event);
            next.check().map_err(|err| (self.history.clone(), err))?;
            self.run(&next, depth - 1, left)?;
            self.history.pop();
        }
        Ok(())
    }
}

/// States from which histories are searched, each after these events.
fn starts() -> Vec<Vec<Event>> {
    use Event::*;
    let holds = [Run(0), Run(0), Run(1)];
    let follows = |then: &[Event]| holds.iter().chain(then).copied().collect::<Vec<_>>();
    vec![
        Vec::new(),
        follows(&[]),
        // Host 1 has taken the lease that host 0 released.
        follows(&[Leave(0), Run(0), Run(1), Pass(1), Run(1), Run(1)]),
        // Host 1 takes host 0 for ended, which may still act, and has not renewed the lease yet.
        follows(&[Doubt(1), Pass(1), Run(1), Pass(2), Run(1)]),
    ]
}

/// Searches from all start states. Returns the number of states and the first broken guarantee.
fn search(hosts: usize, depth: u32, faults: u32, fakes: world::Fakes) -> (usize, Option<Broken>) {
    let mut states = 0;
    for start in starts() {
        let mut world = world::World::new(hosts, fakes);
        for event in start {
            world.apply(event);
            if let Err(err) = world.check() {
                return (states, Some((vec![event], err)));
            }
        }
        let mut search = Search::new(hosts);
        let result = search.run(&world, depth, faults);
        states += search.seen.len();
        if let Err(broken) = result {
            return (states, Some(broken));
        }
    }
    (states, None)
}

/// Guards against a token used twice, two hosts that act at once, lower tokens after higher ones,
/// and A, B, A within the period, over all short histories.
#[test]
fn all_short_histories() {
    for (hosts, depth, faults) in [(2, 7, 2), (2, 6, 3), (3, 5, 3)] {
        let begin = std::time::Instant::now();
        let (states, broken) = search(hosts, depth, faults, world::Fakes::default());
        println!("{hosts} hosts, depth {depth}: {states} states, {:?}", begin.elapsed());
        assert_eq!(broken, None);
    }
}

/// A random history. Returns the world at its end, or the first broken guarantee.
fn walk(seed: u64, fakes: world::Fakes) -> Result<world::World, Broken> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let hosts = rng.random_range(2..=3);
    let mut world = world::World::new(hosts, fakes);
    let all = events(hosts);
    let (faults, calm): (Vec<_>, Vec<_>) = all.into_iter().partition(|it| it.is_fault());
    let share = rng.random_range(0.02..0.5);
    let mut history = Vec::new();
    for _ in 0..80 {
        let from = if rng.random_bool(share) { &faults } else { &calm };
        let event = from[rng.random_range(0..from.len())];
        if world.apply(event) {
            history.push(event);
            world.check().map_err(|err| (history.clone(), err))?;
        }
    }
    Ok(world)
}

/// Time within which a host acts once nothing fails any more: the lease of an earlier holder
/// expires, the next one waits because it held the lease before, and each reads in between.
const MAX_CALM_TICKS: u32 = 18;

/// Guards against the same over long histories, and against a lease that nobody takes afterwards.
#[test]
fn long_histories_and_recovery() {
    for seed in 0..30_000 {
        let mut world = walk(seed, world::Fakes::default())
            .unwrap_or_else(|broken| panic!("seed {seed}: {broken:?}"));
        world.calm();
        let mut acts = false;
        for tick in 0..MAX_CALM_TICKS + 12 {
            for host in 0..world.nodes.len() {
                while world.apply(Event::Run(host)) {}
                world.check().unwrap_or_else(|err| panic!("seed {seed} while calm: {err}"));
            }
            acts = (0..world.nodes.len()).any(|host| world.token(host).is_some());
            assert!(acts || tick < MAX_CALM_TICKS, "seed {seed}: nobody acts");
            world.apply(Event::Pass(1));
        }
        assert!(acts, "seed {seed}");
    }
}

/// Whether the searches find a fault.
fn finds(fakes: world::Fakes) -> Option<Broken> {
    (0..30_000).find_map(|seed| walk(seed, fakes).err())
}

/// Guards against an oracle that accepts everything: faults of the kind that it has to find.
#[test]
fn oracle_finds_faults() {
    let none = world::Fakes::default();
    let several = "several hosts act";
    for (fakes, expected) in [
        (world::Fakes { forgets_recent: true, ..none }, "acts at"),
        (world::Fakes { counts_tokens: true, ..none }, "token"),
        (world::Fakes { ignores_suspension: true, ..none }, several),
        (world::Fakes { trusts_slow_reads: true, ..none }, several),
        (world::Fakes { unconditional: true, ..none }, "token"),
    ] {
        let (history, err) = finds(fakes).unwrap_or_else(|| panic!("{fakes:?} not found"));
        println!("{fakes:?}: {err} after {} events", history.len());
        assert!(err.contains(expected), "{fakes:?}: {err}");
    }
}
