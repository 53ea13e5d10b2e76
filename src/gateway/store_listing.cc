#include "gateway/store_listing.h"

#include <memory>
#include <utility>

#include "gateway/store_call.h"
#include "platform/store_func.h"

namespace poplarfork::gateway {

namespace {

// A listing whose pages are being read one after another.
struct ListingInProgress {
  Listing listing;
  std::function<void(const Listing*)> on_end;
};

using ProgressPtr = std::shared_ptr<ListingInProgress>;

void ListPage(Gateway& gateway, const ProgressPtr& progress);

void OnPage(Gateway& gateway,
            const ProgressPtr& progress,
            const StoreAnswer& answer) {
  Listing& listing = progress->listing;
  auto page = platform::ParseItems(answer.body);
  if (answer.status != 200 || !page) {
    progress->on_end(nullptr);
    return;
  }
  // The pages are not a snapshot: later pages may contain later changes. Only
  // the changes up to the revision of the first page are certain to be
  // included.
  if (listing.as_of.value == 0)
    listing.as_of = page.value().as_of;
  const std::size_t before = listing.items.size();
  for (platform::StoreItem& item : page.value().items)
    listing.items.push_back(std::move(item));
  if (page.value().more_pages && listing.items.size() > before)
    ListPage(gateway, progress);
  else
    progress->on_end(&listing);
}

void ListPage(Gateway& gateway, const ProgressPtr& progress) {
  const Listing& listing = progress->listing;
  const std::string after =
      listing.items.empty() ? "" : listing.items.back().key;
  CallStore(gateway, platform::ReadItemsRequest(listing.prefix, after),
            kStoreCallTimeout, [&gateway, progress](const StoreAnswer& answer) {
              OnPage(gateway, progress, answer);
            });
}

}  // namespace

void ListStore(Gateway& gateway,
               std::string_view prefix,
               std::function<void(const Listing*)> on_end) {
  auto progress = std::make_shared<ListingInProgress>();
  progress->listing.prefix = std::string(prefix);
  progress->on_end = std::move(on_end);
  ListPage(gateway, progress);
}

}  // namespace poplarfork::gateway
