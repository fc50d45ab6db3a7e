//! HTTP interface through which other processes control a simulated platform.

use std::net::SocketAddr;

use actix_web::{
    App, HttpResponse, HttpServer,
    dev::Server,
    web::{Data, Json, Path},
};
use snafu::ResultExt;

use crate::{
    error::{BenchError, BindSnafu},
    platform::{faults::Faults, handle::PlatformHandle},
};

/// Returns the server of the control interface.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub(crate) fn serve_control(
    handle: PlatformHandle,
    address: SocketAddr,
) -> Result<Server, BenchError> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(Data::new(handle.clone()))
            .service(put_key)
            .service(set_faults)
            .service(counts)
    });
    let server = server.workers(1).bind(address);
    Ok(server.context(BindSnafu { address })?.run())
}

#[actix_web::put("/control/keys/{key:.*}")]
async fn put_key(platform: Data<PlatformHandle>, key: Path<String>, value: String) -> HttpResponse {
    let revision = platform.publish(&key, &value);
    HttpResponse::Ok()
        .insert_header(("x-revision", revision.to_string()))
        .finish()
}

#[actix_web::post("/faults")]
async fn set_faults(platform: Data<PlatformHandle>, faults: Json<Faults>) -> HttpResponse {
    platform.set_faults(|current| *current = faults.into_inner());
    HttpResponse::Ok().json(platform.faults())
}

#[actix_web::get("/counts")]
async fn counts(platform: Data<PlatformHandle>) -> HttpResponse {
    HttpResponse::Ok().json(platform.counts())
}
