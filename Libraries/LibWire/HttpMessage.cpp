#include <LibWire/HttpMessage.h>

namespace Wire {

HttpResponse
HttpResponse::Json(HttpStatus aStatus, const boost::json::value& aBody)
{
  HttpResponse response;
  response.status = static_cast<int>(aStatus);
  response.body = boost::json::serialize(aBody);
  return response;
}

HttpResponse
HttpResponse::Error(HttpStatus aStatus, std::string_view aText)
{
  return Json(aStatus, boost::json::object{ { "error", aText } });
}

} // namespace Wire
