/* Margins for clocks whose rates differ. */
#ifndef BB_LIMIT_MARGIN_H
#define BB_LIMIT_MARGIN_H

#include <stdint.h>

#define BB_PPM INT64_C(1000000)

/*
 * Part of @span_us of another clock that has certainly not ended when it has
 * passed on this one: (1 - e) / (1 + e) is greater than 1 - 2 e.
 */
static inline int64_t bb_margin_shorten(int64_t span_us, int64_t drift_ppm)
{
	return span_us - (span_us * 2 * drift_ppm + BB_PPM - 1) / BB_PPM;
}

/*
 * Time on this clock after which @span_us of another one has certainly ended:
 * (1 + e) / (1 - e) is less than 1 + 3 e for e up to 0.3. One ms is added for
 * rounding.
 */
static inline int64_t bb_margin_extend(int64_t span_us, int64_t drift_ppm)
{
	return span_us + span_us * 3 * drift_ppm / BB_PPM + 1000;
}

#endif
