//! How long origins are kept, and which ones are saved.

use super::{
    answers::{OriginAnswer, OriginAnswers},
    *,
};
use std::rc::Rc;

use crate::{ClusterClock, SystemBootClock, directory::Directory, test_support};

const LIFE: Duration = Duration::from_secs(20);

fn origin(request: &str, version: &str) -> StreamOrigin {
    let entry = crate::UpstreamEntry {
        version: Some(version.into()),
        ..test_support::engine_entry("r-1", "zone-a")
    };
    let began_at = ServiceVersion { service: entry.service.clone(), version: (&entry).into() };
    StreamOrigin { key: StreamKey::of_request(request), began_at }
}

#[tokio::test(start_paused = true)]
async fn origins_are_kept_for_a_life_and_the_first_one_stays() {
    let mut origins = StreamOrigins::new(Instant::now());
    let first = origin("id-1", "v1");
    origins.record(first.clone(), LIFE, Instant::now());
    origins.record(origin("id-1", "v2"), LIFE, Instant::now());
    assert_eq!(origins.get(first.key), Some(&first.began_at));
    tokio::time::advance(LIFE).await;
    origins.record(origin("id-2", "v2"), LIFE, Instant::now());
    assert_eq!(origins.get(first.key), Some(&first.began_at), "a life has just passed");
    tokio::time::advance(LIFE).await;
    origins.record(origin("id-3", "v2"), LIFE, Instant::now());
    assert_eq!(origins.get(first.key), None);
}

// Guards against LOST of review/8: the service, drawn anew by changed shares, was part of the key.
#[test]
fn stream_key_is_that_of_the_first_request_alone() {
    let info = |id: &str, resumes: Option<&str>| RequestInfo {
        id: id.into(),
        deadline: None,
        resume_after: resumes.map(|_| 1),
        resumes: resumes.map(Into::into),
        prompt: None,
    };
    let first = StreamKey::from(&info("id-1", None));
    assert_eq!(StreamKey::from(&info("id-2", Some("id-1"))), first);
    assert_ne!(StreamKey::from(&info("id-2", None)), first);
}

#[tokio::test(start_paused = true)]
async fn take_unsaved_waits_for_a_second_version() {
    let gateway = test_support::gateway(1, ClusterClock::new(Rc::new(SystemBootClock)));
    let put = |directory: &Directory, id: &str, version: &str| {
        let entry = test_support::engine_entry(id, "zone-a");
        let entry = crate::UpstreamEntry { version: Some(version.into()), ..entry };
        directory.put(entry, test_support::first_era(1));
    };
    put(&gateway.directory, "r-1", "v1");
    gateway.record_origin(origin("id-1", "v1"));
    assert!(gateway.take_unsaved(9).is_empty(), "one version answers all questions");
    put(&gateway.directory, "r-2", "v2");
    assert_eq!(gateway.take_unsaved(9), [origin("id-1", "v1")], "it began before, and runs on");
    assert!(gateway.take_unsaved(9).is_empty());
}

#[tokio::test(start_paused = true)]
async fn take_unsaved_takes_streams_of_a_route_with_several_services() {
    let gateway = test_support::gateway(1, ClusterClock::new(Rc::new(SystemBootClock)));
    gateway.set_table(test_support::table(1, &[("svc", 1)]));
    gateway.record_origin(origin("id-1", "v1"));
    assert!(gateway.take_unsaved(9).is_empty(), "one service, one version");
    gateway.set_table(test_support::table(2, &[("svc", 1), ("other", 1)]));
    assert_eq!(gateway.take_unsaved(9), [origin("id-1", "v1")]);
}

#[tokio::test(start_paused = true)]
async fn take_unsaved_leaves_out_what_the_store_holds() {
    let mut origins = StreamOrigins::new(Instant::now());
    assert!(origins.record_saved(origin("id-1", "v1"), LIFE, Instant::now()));
    origins.record(origin("id-1", "v1"), LIFE, Instant::now());
    assert!(origins.unsaved.is_empty());
    assert!(origins.get(origin("id-1", "v1").key).is_some());
}

/// Returns answers of nodes whose views are up to date.
fn answers(all: &[PossibleOrigins]) -> OriginAnswers {
    let mut answers = OriginAnswers::default();
    for versions in all {
        answers.push(answer(versions.clone(), true));
    }
    answers
}

fn answer(possible: PossibleOrigins, is_current: bool) -> OriginAnswer {
    OriginAnswer { recorded: None, possible, is_current }
}

fn only(version: &str) -> PossibleOrigins {
    PossibleOrigins::Only(origin("id-1", version).began_at)
}

#[test]
fn only_version_of_all_that_know_it_is_the_origin() {
    let version = Some(origin("id-1", "v1").began_at);
    assert_eq!(answers(&[only("v1"), PossibleOrigins::Unknown]).only_origin(), version);
    assert_eq!(answers(&[only("v1"), only("v1")]).only_origin(), version);
}

#[test]
fn only_version_that_another_node_contradicts_is_unknown() {
    for other in [PossibleOrigins::Several, only("v2")] {
        assert_eq!(answers(&[only("v1"), other.clone()]).only_origin(), None, "{other:?}");
        assert_eq!(answers(&[other.clone(), only("v1")]).only_origin(), None, "{other:?}");
    }
}

#[test]
fn only_version_that_nobody_knows_is_unknown() {
    assert_eq!(answers(&[PossibleOrigins::Unknown]).only_origin(), None);
    assert_eq!(answers(&[]).only_origin(), None);
}

// Guards against ORDER of review/9: two nodes that were cut off together agreed from views that
// lacked the same version.
#[test]
fn only_version_of_nodes_that_may_be_out_of_step_is_unknown() {
    let mut answers = OriginAnswers::default();
    for _ in 0..3 {
        answers.push(answer(only("v1"), false));
    }
    assert_eq!(answers.only_origin(), None);
    answers.push(answer(PossibleOrigins::Unknown, true));
    assert_eq!(answers.only_origin(), None, "a view that is up to date, but too young");
    answers.push(answer(only("v1"), true));
    assert_eq!(answers.only_origin(), Some(origin("id-1", "v1").began_at));
}
