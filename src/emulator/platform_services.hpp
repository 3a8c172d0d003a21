/// \file
/// HTTP faces of the table service, object store, weight store and scoring
/// service, as docs/EMULATOR.md states them. All on the control event loop.
#pragma once

#include <map>
#include <string>

#include "emulator/faulty_listener.hpp"
#include "emulator/table_model.hpp"
#include "emulator/weight_source.hpp"

namespace stoneport::emulator {

class TableListener : public FaultyListener {
 public:
  TableListener(boost::asio::any_io_executor executor, core::Metrics& metrics);
  const TableModel& model() const { return model_; }

 private:
  http::Response read(const http::RoutedRequest& request) const;
  http::Response scan(const http::RoutedRequest& request) const;
  http::Response commit(const http::RoutedRequest& request);
  TableModel model_;
};

class ObjectListener : public FaultyListener {
 public:
  ObjectListener(boost::asio::any_io_executor executor, core::Metrics& metrics);

 private:
  http::Response get(const std::string& name) const;
  std::map<std::string, std::string> objects_;
};

class WeightListener : public FaultyListener {
 public:
  WeightListener(boost::asio::any_io_executor executor, core::Metrics& metrics,
                 WeightSource& source);

 private:
  http::Response status(const core::PolicyName& policy) const;
  http::Response publish(const http::RoutedRequest& request);
  WeightSource& source_;
};

class ScoringListener : public FaultyListener {
 public:
  ScoringListener(boost::asio::any_io_executor executor, core::Metrics& metrics);
};

/// \return the score that every scoring service gives, in [0, 1): a hash.
double score_of(const std::string& scorer, const std::string& prompt,
                const std::string& completion);

}  // namespace stoneport::emulator
