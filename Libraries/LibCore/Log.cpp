#include <LibCore/Log.h>

#include <LibCore/Clock.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
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

/** The rate limit (a token bucket): sustained rate and largest burst. */
constexpr double kLinesPerSecond = 60;
constexpr double kBurstLines = 400;

/** Writes lines to the non-blocking standard output, with a rate limit. */
class BoundedBackend final
  : public boost::log::sinks::basic_formatted_sink_backend<char>
{
public:
  // Boost.Log requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void consume(const boost::log::record_view&, const std::string& aLine)
  {
    const Instant now = MonotonicClock().Now();
    const double seconds =
      std::chrono::duration<double>(now - refilledAt_).count();
    refilledAt_ = now;
    availableLines_ =
      std::min(kBurstLines, availableLines_ + seconds * kLinesPerSecond);
    if (availableLines_ < 1) {
      ++dropped_;
      return;
    }
    availableLines_ -= 1;
    std::string text = aLine + '\n';
    if (dropped_ > 0)
      text += "{\"what\":\"log_lines_dropped\",\"count\":" +
              std::to_string(dropped_) + "}\n";
    // Writes of up to PIPE_BUF bytes to a pipe are atomic.
    if (write(STDOUT_FILENO, text.data(), text.size()) < 0)
      ++dropped_;
    else
      dropped_ = 0;
  }

private:
  Instant refilledAt_{};
  double availableLines_ = kBurstLines;
  std::uint64_t dropped_ = 0;
};

} // namespace

void
StartBoundedLog(std::string_view aProcess)
{
  ProcessName() = aProcess;
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  using Sink = boost::log::sinks::synchronous_sink<BoundedBackend>;
  auto sink = boost::make_shared<Sink>(boost::make_shared<BoundedBackend>());
  sink->set_formatter(boost::log::expressions::stream
                      << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(sink);
}

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
LogChange(std::string_view aWhat, boost::json::object aFields)
{
  // Tests don't start the log: no sink is installed, so nothing is logged.
  if (ProcessName().empty())
    return;
  boost::json::object line{ { "time_ms", WallClockMilliseconds() },
                            { "process", ProcessName() },
                            { "what", aWhat } };
  for (auto& field : aFields)
    line.insert_or_assign(field.key(), std::move(field.value()));
  thread_local boost::log::sources::logger logger;
  BOOST_LOG(logger) << boost::json::serialize(line);
}

} // namespace Core
