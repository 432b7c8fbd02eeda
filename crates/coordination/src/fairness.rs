//! Division of a limited amount between competing demands.

/// Max-min fair division of `total` between `demands`. No share exceeds its
/// demand, and a share is below its demand only if no other share is larger, up
/// to rounding.
pub fn max_min(total: u64, demands: &[u64]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_unstable_by_key(|&i| demands[i]);
    let mut shares = vec![0; demands.len()];
    let mut left = total;
    for (rank, &i) in order.iter().enumerate() {
        let even = left / (demands.len() - rank) as u64;
        shares[i] = demands[i].min(even);
        left -= shares[i];
    }
    shares
}

/// Divides `total` in proportion to `demands`, rounded down. All shares are zero
/// if all demands are.
pub fn proportional(total: u64, demands: &[u64]) -> Vec<u64> {
    let sum: u128 = demands.iter().map(|&c| u128::from(c)).sum();
    let part = |&c: &u64| match sum {
        0 => 0,
        _ => (u128::from(total) * u128::from(c) / sum) as u64,
    };
    demands.iter().map(part).collect()
}
