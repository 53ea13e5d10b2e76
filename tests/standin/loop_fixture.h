#pragma once

#include <chrono>
#include <functional>
#include <future>
#include <memory>

#include <pplx/threadpool.h>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

namespace poplarfork::standin {

// Returns cpprestsdk's event loop, started with one thread as in the daemon.
// The stand-ins and the clients of a test share it.
inline boost::asio::io_context& TestLoop() {
  static const bool is_initialized = [] {
    crossplat::threadpool::initialize_with_threads(1);
    return true;
  }();
  (void)is_initialized;
  return crossplat::threadpool::shared_instance().service();
}

// Time after which a call that has not ended fails its test.
inline constexpr std::chrono::seconds kTestTimeout(20);

// Runs `start` on the loop with a callback, waits in the test's thread until
// the callback is called, and returns the value it was called with.
template <class Value>
Value AwaitCallback(
    const std::function<void(std::function<void(Value)>)>& start) {
  auto promise = std::make_shared<std::promise<Value>>();
  auto future = promise->get_future();
  boost::asio::post(TestLoop(), [start, promise]() {
    start([promise](Value value) { promise->set_value(std::move(value)); });
  });
  BOOST_REQUIRE(future.wait_for(kTestTimeout) == std::future_status::ready);
  return future.get();
}

// Runs `task_function` on the loop, waits in the test's thread until it has
// returned, and returns its result.
template <class Work>
auto RunOnLoop(Work task_function) {
  auto task = std::make_shared<std::packaged_task<decltype(task_function())()>>(
      task_function);
  auto future = task->get_future();
  boost::asio::post(TestLoop(), [task]() { (*task)(); });
  BOOST_REQUIRE(future.wait_for(kTestTimeout) == std::future_status::ready);
  return future.get();
}

}  // namespace poplarfork::standin
