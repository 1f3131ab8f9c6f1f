#include <LibWire/HttpMessage.h>

#include <event2/util.h>

#include <algorithm>

namespace Wire {

const std::string*
HttpResponse::FindHeader(const std::string& aName) const
{
  const auto header =
    std::find_if(headers.begin(), headers.end(), [&aName](const auto& aEntry) {
      return evutil_ascii_strcasecmp(aEntry.first.c_str(), aName.c_str()) == 0;
    });
  return header == headers.end() ? nullptr : &header->second;
}

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
