#pragma once

#include <LibPlatform/TableService.h>
#include <LibPlatform/VmDirectory.h>
#include <LibWire/HttpClient.h>

namespace Platform {

/** A client of the platform's HTTP services, as its test stand-in has them. */
class HttpPlatform final
  : public TableService
  , public VmDirectory
{
public:
  HttpPlatform(Wire::HttpClient& aClient, const Wire::Address& aAddress);

  void Read(const std::string& aKey, RowsCallback aCallback) override;
  void Scan(const std::string& aPrefix,
            std::size_t aLimit,
            RowsCallback aCallback) override;
  void Commit(const TableTransaction& aTransaction,
              CommitCallback aCallback) override;
  void List(
    std::uint64_t aKnownVersion,
    std::function<void(std::optional<VersionedVmList>)> aCallback) override;

private:
  void ReadRows(const std::string& aTarget, RowsCallback aCallback);

  Wire::HttpClient& client_;
  Wire::Address address_;
};

} // namespace Platform
