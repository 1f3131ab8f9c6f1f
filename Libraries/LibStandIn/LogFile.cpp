#include <LibStandIn/LogFile.h>

#include <boost/json.hpp>

namespace StandIn {

namespace {

ReplicaMeta
MetaFromJson(const boost::json::object& aObject)
{
  ReplicaMeta meta;
  meta.identity = aObject.at("identity").as_string();
  meta.promised = aObject.at("promised").to_number<Term>();
  meta.owner = aObject.at("owner").as_string();
  meta.logTerm = aObject.at("log_term").to_number<Term>();
  meta.joining = aObject.at("joining").as_bool();
  meta.admittedBy = aObject.at("admitted_by").to_number<Term>();
  for (const auto& entry : aObject.at("identities").as_object())
    meta.identities[std::string(entry.key())] = entry.value().as_string();
  return meta;
}

void
Replay(const boost::json::object& aRecord, LogFile::Contents& aContents)
{
  if (const auto* meta = aRecord.if_contains("meta"))
    aContents.meta = MetaFromJson(meta->as_object());
  if (const auto* cut = aRecord.if_contains("cut_to"))
    aContents.log.resize(cut->to_number<std::size_t>());
  if (const auto* payload = aRecord.if_contains("payload"))
    aContents.log.push_back({ aRecord.at("term").to_number<Term>(),
                              std::string(payload->as_string()) });
}

} // namespace

LogFile::Contents
LogFile::Open(const std::string& aPath, LogFile& aFile)
{
  Contents contents;
  std::ifstream input(aPath);
  contents.existed = input.good();
  std::string line;
  while (std::getline(input, line)) {
    boost::system::error_code error;
    const boost::json::value record = boost::json::parse(line, error);
    // A crash can leave an incomplete line, but only as the last one.
    if (error || input.eof())
      break;
    Replay(record.as_object(), contents);
  }
  aFile.file_.open(aPath, std::ios::app);
  return contents;
}

void
LogFile::SaveMeta(const ReplicaMeta& aMeta)
{
  boost::json::object identities;
  for (const auto& [name, identity] : aMeta.identities)
    identities[name] = identity;
  const boost::json::object meta{
    { "identity", aMeta.identity }, { "promised", aMeta.promised },
    { "owner", aMeta.owner },       { "log_term", aMeta.logTerm },
    { "joining", aMeta.joining },   { "admitted_by", aMeta.admittedBy },
    { "identities", identities }
  };
  file_ << boost::json::serialize(boost::json::object{ { "meta", meta } })
        << std::endl;
}

void
LogFile::Append(const LogEntry& aEntry)
{
  file_ << boost::json::serialize(boost::json::object{
             { "term", aEntry.term }, { "payload", aEntry.payload } })
        << std::endl;
}

void
LogFile::TruncateTo(std::uint64_t aPosition)
{
  file_ << boost::json::serialize(
             boost::json::object{ { "cut_to", aPosition } })
        << std::endl;
}

} // namespace StandIn
