//! The two tables that operators edit: routes and pools, joined by name.

mod check;
mod current;
mod document;
mod follow;
mod join;
mod model;
mod spread;

pub use self::check::Fault;
pub use self::check::MAX_BODY_BYTES;
pub use self::check::MAX_TIMEOUT_MS;
pub use self::check::MAX_WEIGHT;
pub use self::current::Current;
pub use self::document::Document;
pub use self::document::EditRow;
pub use self::document::EndpointRow;
pub use self::document::FencingCell;
pub use self::document::FormerRow;
pub use self::document::KindCell;
pub use self::document::MoveRow;
pub use self::document::PoolRow;
pub use self::document::RouteRow;
pub use self::follow::OBJECT_KEY;
pub use self::follow::follow;
pub use self::model::Edit;
pub use self::model::Endpoint;
pub use self::model::FencingCheck;
pub use self::model::FormerMembers;
pub use self::model::Move;
pub use self::model::Pool;
pub use self::model::PoolKind;
pub use self::model::Route;
pub use self::model::Tables;
pub use self::spread::Spread;
pub use self::spread::SpreadAction;
pub use self::spread::SpreadCore;
pub use self::spread::SpreadEvent;
