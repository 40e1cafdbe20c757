use actix_web::middleware::from_fn;
use actix_web::web;

use super::track::track;
use super::{ApiState, config, data_centres, jobs, operations};
use crate::ApiError;

/// Registers all paths. Every path replies to an unsupported method with `method_not_allowed`.
pub(super) fn routes(state: &ApiState, app: &mut web::ServiceConfig) {
    let path = web::PathConfig::default().error_handler(|error, _| parameter_error(&error).into());
    let query = web::QueryConfig::default().error_handler(|error, _| parameter_error(&error).into());
    let resource = |path: &str| web::resource(path).default_service(web::to(method_not_allowed));
    app.app_data(web::Data::new(state.clone()))
        .app_data(path)
        .app_data(query)
        .service(
            web::scope("")
                .wrap(from_fn(track))
                .service(
                    resource("/v1/jobs")
                        .route(web::post().to(jobs::submit))
                        .route(web::get().to(jobs::list)),
                )
                .service(
                    resource("/v1/jobs/{organisation}/{request_id}")
                        .route(web::get().to(jobs::status))
                        .route(web::delete().to(jobs::cancel)),
                )
                .service(resource("/v1/jobs/{organisation}/{request_id}/answer").route(web::get().to(jobs::answer)))
                .service(resource("/v1/audit/{organisation}/{request_id}").route(web::get().to(jobs::audit)))
                .service(
                    resource("/v1/config")
                        .route(web::get().to(config::read))
                        .route(web::put().to(config::put)),
                )
                .service(resource("/v1/config/status").route(web::get().to(config::status)))
                .service(resource("/v1/data-centres/{dc}/out").route(web::post().to(data_centres::take_out)))
                .service(resource("/v1/data-centres/{dc}/in").route(web::post().to(data_centres::take_in)))
                .service(resource("/v1/timeline").route(web::get().to(operations::timeline)))
                .service(resource("/v1/peers").route(web::get().to(operations::peers)))
                .service(resource("/metrics").route(web::get().to(operations::metrics)))
                .service(resource("/healthz").route(web::get().to(operations::health)))
                .service(resource("/readyz").route(web::get().to(operations::ready)))
                .default_service(web::to(unknown_path)),
        );
}

async fn unknown_path() -> Result<&'static str, ApiError> {
    Err(ApiError::UnknownPath)
}

async fn method_not_allowed() -> Result<&'static str, ApiError> {
    Err(ApiError::MethodNotAllowed)
}

fn parameter_error(error: &impl ToString) -> ApiError {
    let reason = error.to_string().into();
    ApiError::InvalidParameter { reason }
}
