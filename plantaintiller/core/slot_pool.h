#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace plantaintiller::core {

/// Pool with a fixed number of records. Each record is identified by a handle
/// that is never reused. Allocates memory only at construction.
template <class record>
class slot_pool {
 public:
  /// @param capacity maximum number of records.
  explicit slot_pool(std::size_t capacity) : cells_(capacity) {
    free_.reserve(capacity);
    for (std::size_t i = capacity; i > 0; --i) {
      free_.push_back(static_cast<std::uint32_t>(i - 1));
    }
    active_.reserve(capacity);
  }

  bool Full() const { return free_.empty(); }
  std::size_t Size() const { return cells_.size() - free_.size(); }

  /// Adds a record. The pool must not be full.
  /// @return the handle, never 0.
  std::uint64_t Add(record value) {
    const std::uint32_t index = free_.back();
    free_.pop_back();
    cell& added = cells_[index];
    added.generation += 1;
    added.used = true;
    added.active_index = static_cast<std::uint32_t>(active_.size());
    added.value = std::move(value);
    active_.push_back(index);
    return (static_cast<std::uint64_t>(added.generation) << 32U) | index;
  }

  /// Finds a record. @return null if the handle is no longer in use.
  record* Find(std::uint64_t handle) {
    const std::size_t index = handle & 0xFFFFFFFFU;
    if (index >= cells_.size()) {
      return nullptr;
    }
    cell& found = cells_[index];
    return found.used && found.generation == handle >> 32U ? &found.value
                                                           : nullptr;
  }

  const record* Find(std::uint64_t handle) const {
    return const_cast<slot_pool*>(this)->Find(handle);
  }

  /// Removes a record. The handle must be in use.
  void Remove(std::uint64_t handle) {
    const auto index = static_cast<std::uint32_t>(handle & 0xFFFFFFFFU);
    cell& removed = cells_[index];
    removed.used = false;
    removed.value = record();
    // The last active record moves to the place of the removed one.
    const std::uint32_t last = active_.back();
    active_[removed.active_index] = last;
    cells_[last].active_index = removed.active_index;
    active_.pop_back();
    free_.push_back(index);
  }

  /// Calls `visit(handle, record&)` for the records in use, newest first. The
  /// visitor may add and remove records; added ones are not visited.
  template <class visitor>
  void ForEach(visitor visit) {
    for (std::size_t n = active_.size(); n > 0; --n) {
      if (n > active_.size()) {
        continue;
      }
      const std::uint32_t index = active_[n - 1];
      cell& visited = cells_[index];
      visit((static_cast<std::uint64_t>(visited.generation) << 32U) | index,
            visited.value);
    }
  }

 private:
  struct cell {
    std::uint32_t generation = 0;
    bool used = false;
    std::uint32_t active_index = 0;
    record value;
  };
  std::vector<cell> cells_;
  std::vector<std::uint32_t> free_;
  std::vector<std::uint32_t> active_;
};

}  // namespace plantaintiller::core
