//! Choice of the items that are worth most within a limit.

/// Steps into which the limit is divided.
const STEPS: usize = 1024;

/// Most items for which the table over all steps is computed.
const MAX_TABLE_ITEMS: usize = 256;

/// One item to choose or leave.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Item {
    /// Part of the limit that it uses.
    pub weight: f64,
    /// What it is worth.
    pub value: u64,
}

/// Returns which items to take so that their weights fit in `limit`.
///
/// Takes the best of three choices: by value for weight, by value, and, for
/// few items, by a table over the limit in steps.
pub fn best_subset(items: &[Item], limit: f64) -> Vec<bool> {
    let density = |i: &usize| items[*i].value as f64 / items[*i].weight.max(f64::MIN_POSITIVE);
    let value = |i: &usize| items[*i].value as f64;
    let mut choices = vec![greedy(items, limit, density), greedy(items, limit, value)];
    if items.len() <= MAX_TABLE_ITEMS {
        choices.push(by_table(items, limit));
    }
    choices.into_iter().max_by_key(|choice| total_value(items, choice)).unwrap_or_default()
}

/// Returns what the chosen items are worth together.
pub fn total_value(items: &[Item], chosen: &[bool]) -> u64 {
    items.iter().zip(chosen).filter(|(_, taken)| **taken).map(|(item, _)| item.value).sum()
}

fn greedy(items: &[Item], limit: f64, rank: impl Fn(&usize) -> f64) -> Vec<bool> {
    let mut order: Vec<usize> = (0..items.len()).collect();
    order.sort_by(|a, b| rank(b).total_cmp(&rank(a)));
    let mut chosen = vec![false; items.len()];
    let mut used = 0.0;
    for i in order {
        if used + items[i].weight <= limit {
            used += items[i].weight;
            chosen[i] = true;
        }
    }
    chosen
}

/// Solves the problem exactly with weights rounded up to whole steps.
fn by_table(items: &[Item], limit: f64) -> Vec<bool> {
    let mut chosen = vec![false; items.len()];
    if limit <= 0.0 {
        return chosen;
    }
    let steps: Vec<usize> = items.iter().map(|item| steps_of(item.weight, limit)).collect();
    let mut best = vec![0_u64; STEPS + 1];
    let mut taken = vec![false; items.len() * (STEPS + 1)];
    for (i, item) in items.iter().enumerate() {
        for used in (steps[i]..=STEPS).rev() {
            let with = best[used - steps[i]] + item.value;
            if with > best[used] {
                best[used] = with;
                taken[i * (STEPS + 1) + used] = true;
            }
        }
    }
    let mut used = STEPS;
    for i in (0..items.len()).rev() {
        if taken[i * (STEPS + 1) + used] {
            chosen[i] = true;
            used -= steps[i];
        }
    }
    chosen
}

fn steps_of(weight: f64, limit: f64) -> usize {
    (weight / limit * STEPS as f64).ceil() as usize
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn best_subset_beats_greedy_by_density() {
        let items = [(6.0, 30), (5.0, 20), (5.0, 20)];
        let items = items.map(|(weight, value)| Item { weight, value });
        assert_eq!(best_subset(&items, 10.0), [false, true, true]);
    }

    #[test]
    fn best_subset_no_room_takes_none() {
        let items = [Item { weight: 1.0, value: 9 }];
        assert_eq!(best_subset(&items, 0.0), [false]);
    }
}
