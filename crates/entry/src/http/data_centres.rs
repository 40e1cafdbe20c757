use actix_web::{HttpResponse, web};
use model::DataCentreId;

use super::ApiState;
use crate::HandlerResult;
use crate::config::SetService;

pub(super) async fn take_out(state: web::Data<ApiState>, dc: web::Path<String>) -> HandlerResult {
    set_service(&state, &dc, false).await
}

pub(super) async fn take_in(state: web::Data<ApiState>, dc: web::Path<String>) -> HandlerResult {
    set_service(&state, &dc, true).await
}

async fn set_service(state: &ApiState, dc: &str, in_service: bool) -> HandlerResult {
    let set = SetService {
        data_centre: DataCentreId::new(dc)?,
        in_service,
    };
    let change = state.config.send(set).await??;
    Ok(HttpResponse::Ok().json(change))
}
