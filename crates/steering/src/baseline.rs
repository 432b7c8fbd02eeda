//! Common load balancing algorithms; baselines for benchmarks.

use rand::rngs::SmallRng;
use rand::Rng;

/// Returns the next candidate in turn.
pub fn round_robin(candidates: &[usize], cursor: &mut usize) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    *cursor = cursor.wrapping_add(1);
    Some(candidates[*cursor % candidates.len()])
}

/// Returns a random candidate.
pub fn random(candidates: &[usize], rng: &mut SmallRng) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    Some(candidates[rng.random_range(0..candidates.len())])
}

/// Returns the candidate with the lowest cost. Ties are broken at random.
pub fn min_cost(
    candidates: &[usize],
    rng: &mut SmallRng,
    cost: impl Fn(usize) -> f64,
) -> Option<usize> {
    let mut best = None;
    let mut lowest = f64::INFINITY;
    let mut equal = 0u32;
    for &i in candidates {
        let c = cost(i);
        if c < lowest {
            (best, lowest, equal) = (Some(i), c, 1);
        } else if c == lowest {
            equal += 1;
            if rng.random_range(0..equal) == 0 {
                best = Some(i);
            }
        }
    }
    best
}
