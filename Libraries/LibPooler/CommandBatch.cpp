#include <LibPooler/CommandBatch.h>

#include <utility>

namespace Pooler {

namespace {

struct Batch
{
  std::size_t size = 0;
  std::size_t received = 0;
  std::function<void(const BatchResult&)> done;
  Core::TimerHandle timeout;

  void Finish(const BatchResult& aResult)
  {
    timeout.reset();
    if (const auto task = std::exchange(done, nullptr))
      task(aResult);
  }

  void OnReply(std::size_t aIndex, Sql::DatabaseReply aReply)
  {
    ++received;
    const bool hasFailed = !aReply.IsSuccess();
    if (!hasFailed && received < size)
      return;
    BatchResult result;
    result.failed = hasFailed ? aIndex : size;
    result.reply = std::move(aReply);
    Finish(result);
  }
};

} // namespace

std::shared_ptr<void>
SendBatch(Core::Scheduler& aScheduler,
          Sql::DatabaseLink& aLink,
          const std::vector<Sql::DatabaseCommand>& aCommands,
          Core::Duration aTimeout,
          std::function<void(const BatchResult&)> aDone)
{
  const auto batch = std::make_shared<Batch>();
  const std::weak_ptr<Batch> weak = batch;
  batch->size = aCommands.size();
  batch->done = std::move(aDone);
  batch->timeout = aScheduler.After(aTimeout, [weak] {
    if (const auto live = weak.lock()) {
      BatchResult result;
      result.isSilent = true;
      live->Finish(result);
    }
  });
  for (std::size_t index = 0; index < aCommands.size(); ++index) {
    aLink.Send(aCommands[index], [weak, index](Sql::DatabaseReply aReply) {
      if (const auto live = weak.lock())
        live->OnReply(index, std::move(aReply));
    });
  }
  return batch;
}

} // namespace Pooler
