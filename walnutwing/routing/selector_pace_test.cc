#include <cstdio>
#include <gtest/gtest.h>
#include "walnutwing/routing/pace_model.h"
namespace walnutwing {
TEST(Explore, All)
{
  for (const std::uint32_t spell : { 60U, 200U }) {
    for (const double rate : { 220.0, 300.0 }) {
      for (const std::size_t daemons : { 1, 2, 8, 32, 200 }) {
        for (const Chooser c : { Chooser::Today, Chooser::Paced, Chooser::Naive }) {
          PaceModelOptions o{ c, daemons, rate, spell, 1 };
          const auto r = PaceModel(o).Run(60000);
          std::printf("spell %u rate %.0f daemons %zu chooser %d: mean %.1f late %.4f over %.4f max %u\n", spell, rate, daemons, (int)c, r.m_meanMs, r.m_lateFraction, r.m_overFraction, r.m_maxLoad);
        }
      }
    }
  }
}
}
