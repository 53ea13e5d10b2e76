#include "gateway/store_listing.h"

#include <memory>
#include <utility>

#include "gateway/log_func.h"
#include "gateway/store_call.h"
#include "platform/store_func.h"

namespace poplarfork::gateway {

namespace {

// A listing whose pages are being read one after another.
struct ListingInProgress {
  Listing listing;
  std::function<void(const Listing*)> on_end;
  // Era of the first page.
  fleet::StoreEra era;
};

using ListingInProgressPtr = std::shared_ptr<ListingInProgress>;

void RequestPage(Gateway& gateway, const ListingInProgressPtr& progress);

void OnPageResponse(Gateway& gateway,
                    const ListingInProgressPtr& progress,
                    const StoreResponse& response) {
  Listing& listing = progress->listing;
  auto page = platform::ParseItems(response.body, response.era);
  if (listing.items.empty())
    progress->era = response.era;
  // Pages of two eras are no list of either.
  const bool is_usable = !response.is_late && response.era == progress->era;
  if (response.status != 200 || !page || !is_usable) {
    progress->on_end(nullptr);
    return;
  }
  // The pages are not a snapshot: later pages may contain later changes. Only
  // the changes up to the revision of the first page are certain to be
  // included.
  if (listing.as_of.value == 0)
    listing.as_of = page.value().as_of;
  const std::size_t previous_count = listing.items.size();
  for (platform::StoreItem& item : page.value().items)
    listing.items.push_back(std::move(item));
  if (!page.value().has_more_pages) {
    progress->on_end(&listing);
    return;
  }
  // Without a readable item it is not known where the next page begins. A
  // listing that ended here would remove what the other pages name.
  if (listing.items.size() == previous_count) {
    Log(gateway, "store_answer_unreadable",
        {{"call", "list"}, {"error", "a page without a readable item"}});
    progress->on_end(nullptr);
    return;
  }
  RequestPage(gateway, progress);
}

void RequestPage(Gateway& gateway, const ListingInProgressPtr& progress) {
  const Listing& listing = progress->listing;
  const std::string after =
      listing.items.empty() ? "" : listing.items.back().key;
  ReadStore(gateway, platform::MakeReadItemsRequest(listing.prefix, after),
            base::Duration(0),
            [&gateway, progress](const StoreResponse& response) {
              OnPageResponse(gateway, progress, response);
            });
}

}  // namespace

void ListStoreItems(Gateway& gateway,
                    std::string_view prefix,
                    std::function<void(const Listing*)> on_end) {
  auto progress = std::make_shared<ListingInProgress>();
  progress->listing.prefix = std::string(prefix);
  progress->on_end = std::move(on_end);
  RequestPage(gateway, progress);
}

}  // namespace poplarfork::gateway
