#ifndef WALNUTWING_NET_H2O_H_
#define WALNUTWING_NET_H2O_H_

// h2o's headers, for the files in this directory only. They are C and warn
// under this project's flags.

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wall"
#pragma GCC diagnostic ignored "-Wextra"
#pragma GCC diagnostic ignored "-Wshadow"
#define H2O_USE_LIBUV 0
extern "C"
{
#include <h2o.h>
#include <h2o/http1client.h>
}
#pragma GCC diagnostic pop

#endif // WALNUTWING_NET_H2O_H_
