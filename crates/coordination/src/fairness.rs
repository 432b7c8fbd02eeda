//! Division of a limited amount between claimants.

/// Max-min fair division of `total` between `claims`: no claimant gets more
/// than it claims, and a claimant gets less only if no other gets more than it.
pub fn max_min(total: u64, claims: &[u64]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_unstable_by_key(|&i| claims[i]);
    let mut shares = vec![0; claims.len()];
    let mut left = total;
    for (rank, &i) in order.iter().enumerate() {
        let even = left / (claims.len() - rank) as u64;
        shares[i] = claims[i].min(even);
        left -= shares[i];
    }
    shares
}

/// Division of `total` in proportion to `claims`; zero if nobody claims.
pub fn proportional(total: u64, claims: &[u64]) -> Vec<u64> {
    let sum: u128 = claims.iter().map(|&c| u128::from(c)).sum();
    let part = |&c: &u64| match sum {
        0 => 0,
        _ => (u128::from(total) * u128::from(c) / sum) as u64,
    };
    claims.iter().map(part).collect()
}
