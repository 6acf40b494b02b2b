#include "walnutwing/relay/response_status.h"

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

// Guards against reports, MIXED: a status that is none reaches the caller, or
// keeps it waiting for another response.
TEST(ResponseStatus, EachStatusHasItsKind)
{
  const struct
  {
    unsigned m_first;
    unsigned m_last;
    StatusKind m_kind;
  } rows[] = {
    { 0, 99, StatusKind::Invalid },
    { 100, 100, StatusKind::Interim },
    { 101, 101, StatusKind::Invalid },
    { 102, 199, StatusKind::Interim },
    { 200, 203, StatusKind::Final },
    { 204, 204, StatusKind::FinalWithoutBody },
    { 205, 303, StatusKind::Final },
    { 304, 304, StatusKind::FinalWithoutBody },
    { 305, 599, StatusKind::Final },
    { 600, 999, StatusKind::Invalid },
  };
  for (const auto& row : rows) {
    for (unsigned status = row.m_first; status <= row.m_last; ++status) {
      EXPECT_EQ(row.m_kind, KindOf(status)) << status;
    }
  }
}

TEST(ResponseStatus, SuccessIs2xx)
{
  EXPECT_FALSE(IsSuccess(199));
  EXPECT_TRUE(IsSuccess(200));
  EXPECT_TRUE(IsSuccess(299));
  EXPECT_FALSE(IsSuccess(300));
}

} // namespace
} // namespace walnutwing
