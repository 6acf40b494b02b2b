#ifndef WALNUTWING_SOAK_SOAK_REPORT_H_
#define WALNUTWING_SOAK_SOAK_REPORT_H_

// Reports of a soak run as text, as JSON and as a plot.

#include <string>

#include "soak/soak_run.h"

namespace walnutwing::soak {

std::string
ToText(const SoakResult& aResult);

std::string
ToJson(const SoakResult& aResult);

// A histogram of the recovery times.
std::string
ToSvg(const SoakResult& aResult, const std::string& aTitle);

} // namespace walnutwing::soak

#endif // WALNUTWING_SOAK_SOAK_REPORT_H_
