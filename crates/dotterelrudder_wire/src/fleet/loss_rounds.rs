//! How often ends of runners count that came together.

use std::time::Duration;

/// Runners that end within this time end together: they may have been lost for one reason from
/// outside.
const ROUND_LENGTH: Duration = Duration::from_millis(200);

/// Counts the runners that ended under a part since a request with it last began, and returns whether
/// all of them ended without others. Runners that ended together count once if the part doesn't
/// explain all of them, or if requests with it began before. Entries and the leader count alike.
pub fn count_losses(
    has_begun: bool,
    mut ends: Vec<Duration>,
    others: &[Duration],
) -> (usize, bool) {
    ends.sort_unstable();
    let (mut count, mut is_alone) = (0, true);
    let mut round: Option<Duration> = None;
    for at in ends {
        let is_together = |other: &Duration| at.abs_diff(*other) < ROUND_LENGTH;
        let counts_alone = !has_begun && !others.iter().any(is_together);
        is_alone &= counts_alone;
        if counts_alone || round.is_none_or(|round| at >= round + ROUND_LENGTH) {
            count += 1;
            round = Some(at);
        }
    }
    (count, is_alone)
}
