//! Random numbers for the measurements.

use rand::RngExt as _;
use rand::SeedableRng as _;

/// Random number generator of all measurements; its output is the same on all machines.
pub type Random = rand_chacha::ChaCha8Rng;

/// Creates the generator of one trial. Trials with the same seed get independent streams.
pub fn for_trial(seed: u64, trial: u64) -> Random {
    let mut random = Random::seed_from_u64(seed);
    random.set_stream(trial);
    random
}

/// Draws from a normal distribution with mean 0 and standard deviation 1, approximated by a sum of
/// uniform values.
pub fn normal(random: &mut Random) -> f64 {
    (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0
}

/// Creates a random request id.
pub fn request_id(random: &mut Random) -> uuid::Uuid {
    uuid::Uuid::from_u128(random.random())
}

/// Draws the time in seconds until the next event of a Poisson process, with `rate` events per
/// second.
pub fn interval(random: &mut Random, rate: f64) -> f64 {
    -(1.0 - random.random::<f64>()).ln() / rate
}
