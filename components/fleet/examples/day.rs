//! Prints what a day with reclaim waves costs, as ratios.

#![allow(clippy::print_stdout)]

#[path = "../tests/common/day.rs"]
mod day;

use day::{Way, run};

fn main() {
    let on_demand = run(Way::OnDemandOnly);
    println!("way                   price/on-demand  missed minutes  refused  started");
    for way in [Way::OnDemandOnly, Way::CheapestReclaimable, Way::Planned] {
        let day = run(way);
        let ratio = day.price / on_demand.price;
        let name = format!("{way:?}");
        println!(
            "{name:<21} {ratio:>15.3} {:>15} {:>8} {:>8}",
            day.missed_minutes, day.refused, day.started
        );
    }
}
