//! Endpoints that read and change the configuration.

use actix_web::{HttpRequest, Responder, web};
use lycheelatch_config::{AuditQuery, Change, Document, Edit, ObjectKey, ObjectKind};
use lycheelatch_prelude::{ChangeId, Name, OperatorName, Revision};

use crate::{
    ApplyRequest, ChangeOptions, ChangeResponse, DeleteRequest, DiffResponse, ObjectsResponse,
    OperatorApi, Problem, ProblemKind, Role, body::read_body, params::Params,
};

/// Page size if the request has no `limit`.
const DEFAULT_LIMIT: usize = 50;

type Api = web::Data<OperatorApi>;

pub(crate) async fn apply(api: Api, req: HttpRequest, body: web::Payload) -> impl Responder {
    api.authorize(&req, Role::Read)?;
    let ApplyRequest { options, document } = read_body(body).await?;
    let author = api.authorize(&req, role_for(&options))?;
    let document = Document::from_value(document)
        .map_err(|errors| Problem::with_errors(ProblemKind::Invalid, errors))?;
    let change = build_change(author, &options, vec![Edit::Apply(document)]);
    run_change(&api, change, options.dry_run).await
}

pub(crate) async fn delete(api: Api, req: HttpRequest, body: web::Payload) -> impl Responder {
    api.authorize(&req, Role::Read)?;
    let DeleteRequest { options, objects } = read_body(body).await?;
    let author = api.authorize(&req, role_for(&options))?;
    let edits = objects.into_iter().map(Edit::Remove).collect();
    let change = build_change(author, &options, edits);
    run_change(&api, change, options.dry_run).await
}

fn role_for(options: &ChangeOptions) -> Role {
    if options.dry_run { Role::Read } else { Role::Change }
}

fn build_change(author: OperatorName, options: &ChangeOptions, edits: Vec<Edit>) -> Change {
    let id = options.change_id.unwrap_or_else(ChangeId::new_unique);
    Change { id, author, expected: options.expect_revision, edits }
}

async fn run_change(
    api: &OperatorApi,
    change: Change,
    is_dry_run: bool,
) -> Result<web::Json<ChangeResponse>, Problem> {
    if is_dry_run {
        return Ok(web::Json(api.store.dry_run(&change).await?.into()));
    }
    let (id, author) = (change.id, change.author.clone());
    let applied = api.store.apply(change).await.inspect_err(|err| {
        log::warn!("operator: change {id} by {author} was rejected: {err}");
    })?;
    log::info!("operator: change {id} by {author} is in effect at revision {}", applied.revision);
    api.current.advance(applied.snapshot.as_ref().clone());
    Ok(web::Json(applied.into()))
}

pub(crate) async fn objects(api: Api, req: HttpRequest) -> impl Responder {
    api.authorize(&req, Role::Read)?;
    let mut params = Params::from_request(&req)?;
    let kind: Option<KindParam> = params.optional("kind");
    let name: Option<Name> = params.optional("name");
    params.finish()?;
    let is_selected = |key: &ObjectKey| {
        kind.as_ref().is_none_or(|kind| kind.0 == key.kind)
            && name.as_ref().is_none_or(|name| *name == key.name)
    };
    let response = ObjectsResponse::new(&api.current.get(), is_selected);
    if let Some(name) = name.filter(|_| response.document.is_empty()) {
        let detail = format!("no object is named {name}");
        return Err(Problem::new(ProblemKind::NotFound, detail));
    }
    Ok(web::Json(response))
}

pub(crate) async fn diff(api: Api, req: HttpRequest) -> impl Responder {
    api.authorize(&req, Role::Read)?;
    let mut params = Params::from_request(&req)?;
    let from = params.required("from").map(Revision);
    let to = params.required("to").map(Revision);
    params.finish()?;
    let (from, to) = (from.unwrap_or_default(), to.unwrap_or_default());
    let changes = api.store.diff(from, to).await.map_err(Problem::from)?;
    Ok::<_, Problem>(web::Json(DiffResponse { from, to, changes }))
}

pub(crate) async fn history(api: Api, req: HttpRequest) -> impl Responder {
    api.authorize(&req, Role::Read)?;
    let mut params = Params::from_request(&req)?;
    let before = params.optional("before").map(Revision);
    let limit = params.optional("limit").unwrap_or(DEFAULT_LIMIT);
    params.finish()?;
    Ok::<_, Problem>(web::Json(api.store.history(before, limit).await?))
}

pub(crate) async fn audit(api: Api, req: HttpRequest) -> impl Responder {
    api.authorize(&req, Role::Read)?;
    let mut params = Params::from_request(&req)?;
    let before = params.optional("before").map(Revision);
    let limit = params.optional("limit").unwrap_or(DEFAULT_LIMIT);
    let author = params.optional("author");
    let kind: Option<KindParam> = params.optional("kind");
    let name: Option<Name> =
        if kind.is_some() { params.required("name") } else { params.optional("name") };
    let kind = if name.is_some() { kind.or_else(|| params.required("kind")) } else { kind };
    params.finish()?;
    let object = kind.zip(name).map(|(kind, name)| ObjectKey { kind: kind.0, name });
    let query = AuditQuery { before, limit, author, object };
    Ok::<_, Problem>(web::Json(api.store.audit(&query).await?))
}

/// Object kind in a query parameter, in its plural form.
struct KindParam(ObjectKind);

impl std::str::FromStr for KindParam {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<KindParam, &'static str> {
        let has_name = |kind: &&ObjectKind| kind.plural() == text;
        ObjectKind::ALL
            .iter()
            .find(has_name)
            .map(|kind| KindParam(*kind))
            .ok_or("must be services, workspaces or rules")
    }
}
