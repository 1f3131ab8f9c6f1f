#include <LibWire/HttpMessage.h>

namespace Wire {

HttpAnswer
HttpAnswer::Json(HttpStatus aStatus, const boost::json::value& aBody)
{
  HttpAnswer response;
  response.status = static_cast<int>(aStatus);
  response.body = boost::json::serialize(aBody);
  return response;
}

HttpAnswer
HttpAnswer::Error(HttpStatus aStatus, std::string_view aText)
{
  return Json(aStatus, boost::json::object{ { "error", aText } });
}

} // namespace Wire
