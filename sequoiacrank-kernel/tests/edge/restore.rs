//! Records of hosts while the store is restored from copies: all short histories of two and three
//! hosts, and long random ones.

mod world;

use rand::RngExt as _;
use rand::SeedableRng as _;

use world::Event;
use world::Topic;

/// A history that breaks a guarantee, and which.
type Broken = (Vec<Event>, String);

fn events(hosts: usize) -> Vec<Event> {
    let mut all = vec![Event::Pass, Event::Copy, Event::Restore, Event::WriteAgain];
    all.extend([Event::Write(0), Event::Write(1), Event::Delete(1)]);
    for host in 0..hosts {
        all.extend([Event::Read(host), Event::Restart(host)]);
        all.extend((0..hosts).filter(|&to| to != host).map(|to| Event::Tell(host, to)));
    }
    all
}

/// States from which histories are searched, each after these events.
fn starts(hosts: usize) -> Vec<Vec<Event>> {
    use Event::*;
    let read = |hosts: usize| (0..hosts).map(Read);
    let written = [Write(0), Write(1)].into_iter().chain(read(hosts));
    let copied: Vec<_> = written.chain([Copy, Write(0), Write(1)]).collect();
    let known: Vec<_> = copied.iter().copied().chain(read(hosts)).collect();
    let then = |first: &[Event], last: &[Event]| [first, last].concat();
    vec![
        copied.clone(),
        then(&known, &[Restore]),
        then(&known, &[Restore, Read(0), WriteAgain]),
        // The first host alone knows a deletion, and what was written before.
        then(&copied, &[Delete(1), Read(0), Restore, Read(1)]),
        // Two restores, the second one from a copy of the first era.
        then(&known, &[Restore, WriteAgain, Write(0), Read(0), Restore]),
    ]
}

fn search(world: &world::World, history: &mut Vec<Event>, depth: u32) -> Result<u32, Broken> {
    if depth == 0 {
        let end = world.clone().settle();
        return end.map(|()| 1).map_err(|err| (history.clone(), err));
    }
    let mut count = 0;
    for event in events(world.hosts()) {
        let mut next = world.clone();
        if !next.apply(event) {
            continue;
        }
        history.push(event);
        next.check().map_err(|err| (history.clone(), err))?;
        count += search(&next, history, depth - 1)?;
        history.pop();
    }
    Ok(count)
}

/// Guards against records of a lost era that hold for good, against ones that a copy brings back,
/// and against hosts that know different records, over all short histories.
#[test]
fn all_short_histories() {
    for topic in [Topic::Operators, Topic::Endpoints] {
        for (hosts, depth) in [(2, 5), (3, 4)] {
            for start in starts(hosts) {
                let mut world = world::World::new(topic, hosts, world::Fakes::default());
                for &event in &start {
                    world.apply(event);
                    assert_eq!(world.check(), Ok(()), "{topic:?} {start:?}");
                }
                let mut history = start.clone();
                let result = search(&world, &mut history, depth);
                assert!(result.is_ok(), "{topic:?}: {result:?}");
            }
        }
    }
}

/// A random history.
fn walk(seed: u64, fakes: world::Fakes) -> Result<(), Broken> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let topic = if rng.random_bool(0.5) { Topic::Operators } else { Topic::Endpoints };
    let hosts = rng.random_range(2..=3);
    let mut world = world::World::new(topic, hosts, fakes);
    let all = events(hosts);
    let mut history = Vec::new();
    for _ in 0..40 {
        let event = all[rng.random_range(0..all.len())];
        if world.apply(event) {
            history.push(event);
            world.check().map_err(|err| (history.clone(), err))?;
        }
    }
    world.settle().map_err(|err| (history, err))
}

/// Guards against the same over long histories.
#[test]
fn long_histories() {
    for seed in 0..60_000 {
        let result = walk(seed, world::Fakes::default());
        assert!(result.is_ok(), "seed {seed}: {result:?}");
    }
}

/// Guards against an oracle that accepts everything: faults of the kind that it has to find.
#[test]
fn oracle_finds_faults() {
    let none = world::Fakes::default();
    for (fakes, expected) in [
        (world::Fakes { ignores_era: true, ..none }, "knows"),
        (world::Fakes { trusts_copy: true, ..none }, "goes back"),
        (world::Fakes { no_digests: true, ..none }, "knows"),
    ] {
        let found = (0..30_000).find_map(|seed| walk(seed, fakes).err());
        let (history, err) = found.unwrap_or_else(|| panic!("{fakes:?} not found"));
        println!("{fakes:?}: {err} after {} events", history.len());
        let errors = (0..30_000).filter_map(|seed| walk(seed, fakes).err());
        assert!(errors.map(|(_, err)| err).any(|err| err.contains(expected)), "{fakes:?}: {err}");
    }
}
