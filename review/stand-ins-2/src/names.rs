//! Header names and response heads, taken from the project's adapter and its own stand-ins.

use actix_http::header::HeaderMap;
use lycheelatch_fakes::entry::{Behavior, ScriptedUpstream, call, prompt_headers, request};
use lycheelatch_gateway::{Dialect, ForwardParams};
use lycheelatch_platform::PlatformHeaders;
use lycheelatch_prelude::UpstreamId;

/// Stands for the identifier of a request in a template.
const MARK: &str = "mark-of-a-request";

/// Body of an answer that is no stream.
const ANSWER: &str = "ok";

/// Names of request headers, in lower case, and templates of response heads.
pub struct Names {
    pub request_id: String,
    pub expected_instance: String,
    pub prompt_parts: String,
    stream_head: String,
    answer_head: String,
    refusal: String,
}

impl Names {
    pub async fn learn() -> Names {
        let id: UpstreamId = MARK.parse().expect("a valid identifier");
        let added = ForwardParams {
            upstream: &id,
            workspace: None,
            deadline_ms: 1,
            resume_after: None,
            engine_rank: None,
            fetch_from: None,
        };
        let headers = PlatformHeaders.upstream_headers(&HeaderMap::new(), added);
        let named = headers.iter().find(|(_, value)| value.as_bytes() == MARK.as_bytes());
        let expected_instance = named.expect("the instance is named").0.as_str().to_owned();
        let prompt = prompt_headers(&[], 0xfab);
        Names {
            request_id: name_of(&request("GET", "/", MARK, "", ""), MARK),
            expected_instance,
            prompt_parts: name_of(&prompt, "fab:100"),
            stream_head: head_of(Behavior::Events(vec![])).await,
            answer_head: head_of(Behavior::Respond(200, ANSWER.to_owned())).await,
            refusal: head_of(Behavior::NotExecuted(421)).await,
        }
    }

    /// Returns the head of an event stream in chunks.
    pub fn stream_head(&self, id: &str) -> String {
        self.stream_head.replace(MARK, id)
    }

    /// Returns a whole answer with a length.
    pub fn answer(&self, id: &str) -> String {
        self.answer_head.replace(MARK, id) + ANSWER
    }

    /// Returns a whole answer with a length and a status.
    pub fn answer_as(&self, status: u16, id: &str) -> String {
        self.answer(id).replacen(" 200 ", &format!(" {status} "), 1)
    }

    /// Returns a whole response that says that the request did not run.
    pub fn refusal(&self, status: u16, id: &str) -> String {
        self.refusal.replace(MARK, id).replace(" 421 ", &format!(" {status} "))
    }
}

/// Returns the name of the header with a value.
fn name_of(text: &str, value: &str) -> String {
    let mut lines = text.lines().filter_map(|line| line.split_once(": "));
    let found = lines.find(|(_, known)| *known == value).expect("a header with the value");
    found.0.to_ascii_lowercase()
}

/// Returns the head with which the project's stand-in responds.
async fn head_of(behavior: Behavior) -> String {
    let upstream = ScriptedUpstream::start([behavior]).await;
    call(upstream.address(), "POST", "/", MARK).await.head
}
