/*
 * Monotonic and wall clock of the host. Functions that make decisions read no
 * clock; they take the time as an argument.
 */
#ifndef BAOBABWARD_CLOCK_H
#define BAOBABWARD_CLOCK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define BB_US_PER_MS INT64_C(1000)
#define BB_US_PER_S INT64_C(1000000)

/**
 * bb_clock_now_us() - read the clock of this host.
 *
 * Uses CLOCK_BOOTTIME, which also advances while the host is suspended, so
 * that a lease does not outlast its term when the host is suspended.
 *
 * Return: microseconds since an arbitrary start, never decreasing.
 */
int64_t bb_clock_now_us(void);

/**
 * bb_clock_wall_us() - read the wall clock, for traces and logs only.
 *
 * Return: microseconds since the Unix epoch.
 */
int64_t bb_clock_wall_us(void);

#ifdef __cplusplus
}
#endif
#endif
