//! Choice of the items that are worth most within a limit.

/// Most items for which more than the greedy choices are tried.
const MAX_EXACT_ITEMS: usize = 64;

/// Most unbeaten choices that are kept; beyond it every second one is dropped.
const MAX_CHOICES: usize = 2048;

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
/// few items, by every choice that no other beats.
pub fn best_subset(items: &[Item], limit: f64) -> Vec<bool> {
    let density = |i: &usize| items[*i].value as f64 / items[*i].weight.max(f64::MIN_POSITIVE);
    let value = |i: &usize| items[*i].value as f64;
    let mut choices = vec![greedy(items, limit, density), greedy(items, limit, value)];
    if items.len() <= MAX_EXACT_ITEMS {
        choices.push(by_choices(items, limit));
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

/// A choice among the items so far that no other beats in both weight and value.
#[derive(Clone, Copy)]
struct Choice {
    weight: f64,
    value: u64,
    /// Index of the last item taken and of the choice that it was added to.
    last: Option<(usize, usize)>,
}

/// Extends every choice that is not beaten by each item in turn.
///
/// Exact as long as no more than [`MAX_CHOICES`] choices stand at once.
fn by_choices(items: &[Item], limit: f64) -> Vec<bool> {
    let mut arena = vec![Choice { weight: 0.0, value: 0, last: None }];
    let mut front = vec![0];
    for (i, item) in items.iter().enumerate() {
        let first_new = arena.len();
        for &from in &front {
            let weight = arena[from].weight + item.weight;
            if weight <= limit {
                let value = arena[from].value + item.value;
                arena.push(Choice { weight, value, last: Some((i, from)) });
            }
        }
        front.extend(first_new..arena.len());
        keep_unbeaten(&mut front, &arena);
    }
    let mut chosen = vec![false; items.len()];
    let mut last = front.last().and_then(|&best| arena[best].last);
    while let Some((item, from)) = last {
        chosen[item] = true;
        last = arena[from].last;
    }
    chosen
}

/// Leaves the unbeaten choices, in rising order of weight and value.
fn keep_unbeaten(front: &mut Vec<usize>, arena: &[Choice]) {
    front.sort_by(|&a, &b| {
        let by_weight = arena[a].weight.total_cmp(&arena[b].weight);
        by_weight.then_with(|| arena[b].value.cmp(&arena[a].value))
    });
    let mut best = None;
    front.retain(|&i| {
        let is_unbeaten = best.is_none_or(|value| arena[i].value > value);
        if is_unbeaten {
            best = Some(arena[i].value);
        }
        is_unbeaten
    });
    if front.len() > MAX_CHOICES {
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
