//! Selects the most valuable items within a weight limit (0/1 knapsack problem).

/// Maximum number of items for which the Pareto front is searched besides the greedy selections.
const MAX_EXACT_ITEMS: usize = 64;

/// Maximum length of the Pareto front; every second selection is dropped beyond it.
const MAX_FRONT_LEN: usize = 2048;

/// An item that can be selected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Item {
    /// Weight of the item, in the unit of the limit.
    pub weight: f64,
    /// Benefit of selecting the item.
    pub value: u64,
}

/// Returns which items to select so that their weights fit within `limit`.
///
/// Returns the best of three selections: greedy by value per weight, greedy by value and, for
/// up to 64 items, the best selection on the Pareto front.
pub fn best_subset(items: &[Item], limit: f64) -> Vec<bool> {
    let density = |i: &usize| items[*i].value as f64 / items[*i].weight.max(f64::MIN_POSITIVE);
    let value = |i: &usize| items[*i].value as f64;
    let mut candidates = vec![greedy(items, limit, density), greedy(items, limit, value)];
    if items.len() <= MAX_EXACT_ITEMS {
        candidates.push(exact_subset(items, limit));
    }
    candidates.into_iter().max_by_key(|selection| total_value(items, selection)).unwrap_or_default()
}

/// Returns the total value of the selected items.
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

/// A selection of the items processed so far that no other beats in both weight and value.
#[derive(Clone, Copy)]
struct PartialSelection {
    weight: f64,
    value: u64,
    /// Index of the item added last, and of the selection in the arena that it was added to.
    last: Option<(usize, usize)>,
}

/// Extends every selection on the Pareto front by each item in turn.
///
/// The result is optimal as long as the front has at most [`MAX_FRONT_LEN`] selections.
fn exact_subset(items: &[Item], limit: f64) -> Vec<bool> {
    let mut arena = vec![PartialSelection { weight: 0.0, value: 0, last: None }];
    let mut front = vec![0];
    for (i, item) in items.iter().enumerate() {
        let first_new = arena.len();
        for &from in &front {
            let weight = arena[from].weight + item.weight;
            if weight <= limit {
                let value = arena[from].value + item.value;
                arena.push(PartialSelection { weight, value, last: Some((i, from)) });
            }
        }
        front.extend(first_new..arena.len());
        retain_pareto_front(&mut front, &arena);
    }
    let mut chosen = vec![false; items.len()];
    let mut last = front.last().and_then(|&best| arena[best].last);
    while let Some((item, from)) = last {
        chosen[item] = true;
        last = arena[from].last;
    }
    chosen
}

/// Retains the Pareto front, in ascending order of weight and value.
fn retain_pareto_front(front: &mut Vec<usize>, arena: &[PartialSelection]) {
    front.sort_by(|&a, &b| {
        let by_weight = arena[a].weight.total_cmp(&arena[b].weight);
        by_weight.then_with(|| arena[b].value.cmp(&arena[a].value))
    });
    let mut best = None;
    front.retain(|&i| {
        let is_undominated = best.is_none_or(|value| arena[i].value > value);
        if is_undominated {
            best = Some(arena[i].value);
        }
        is_undominated
    });
    if front.len() > MAX_FRONT_LEN {
        let last = front.len() - 1;
        let mut index = 0;
        front.retain(|_| {
            index += 1;
            (last + 1 - index).is_multiple_of(2)
        });
    }
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
