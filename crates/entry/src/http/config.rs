use actix_web::http::header::{ETAG, IF_MATCH};
use actix_web::{HttpRequest, HttpResponse, web};
use model::{Config, ConfigVersion};

use super::ApiState;
use super::read_json::read_json;
use crate::config::{PutConfig, ReadConfig, config_status};
use crate::{ApiError, HandlerResult};

pub(super) async fn read(state: web::Data<ApiState>) -> HandlerResult {
    let config = state.config.send(ReadConfig).await??;
    Ok(respond(&config))
}

pub(super) async fn put(state: web::Data<ApiState>, request: HttpRequest, body: web::Payload) -> HandlerResult {
    let put = PutConfig {
        config: read_json(&state, &request, body).await?,
        based_on: if_match(&request)?,
    };
    let config = state.config.send(put).await??;
    Ok(respond(&config))
}

pub(super) async fn status(state: web::Data<ApiState>) -> HandlerResult {
    Ok(HttpResponse::Ok().json(config_status(&state.context)))
}

fn respond(config: &Config) -> HttpResponse {
    HttpResponse::Ok()
        .insert_header((ETAG, format!("\"{}\"", config.version)))
        .json(config)
}

fn if_match(request: &HttpRequest) -> Result<ConfigVersion, ApiError> {
    let header = request.headers().get(IF_MATCH).ok_or(ApiError::IfMatchRequired)?;
    let text = header.to_str().unwrap_or_default().trim().trim_matches('"');
    let version = text.parse().map_err(|_| ApiError::InvalidParameter {
        reason: format!("If-Match is {text:?}; expected a version such as 17").into(),
    })?;
    Ok(ConfigVersion(version))
}
