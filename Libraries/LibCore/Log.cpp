#include <LibCore/Log.h>

#include <LibCore/Clock.h>

#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <iostream>
#include <string>
#include <utility>

namespace Core {

namespace {

std::string&
ProcessName()
{
  static std::string name;
  return name;
}

} // namespace

void
StartLog(std::string_view aProcess)
{
  ProcessName() = aProcess;
  boost::log::add_console_log(std::cerr,
                              boost::log::keywords::format =
                                boost::log::expressions::stream
                                << boost::log::expressions::smessage,
                              boost::log::keywords::auto_flush = true);
}

void
LogChange(std::string_view aWhat, boost::json::object aFacts)
{
  // Without StartLog (in tests) there is no sink of ours, so stay silent.
  if (ProcessName().empty())
    return;
  boost::json::object line{ { "time_ms", WallClockMilliseconds() },
                            { "process", ProcessName() },
                            { "what", aWhat } };
  for (auto& fact : aFacts)
    line.insert_or_assign(fact.key(), std::move(fact.value()));
  thread_local boost::log::sources::logger logger;
  BOOST_LOG(logger) << boost::json::serialize(line);
}

} // namespace Core
