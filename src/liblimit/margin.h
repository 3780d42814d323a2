/* Safety margins for time spans on clocks that run at different rates. */
#ifndef BB_LIMIT_MARGIN_H
#define BB_LIMIT_MARGIN_H

#include <stdint.h>

/* Parts per million in a whole. */
#define BB_PPM INT64_C(1000000)

/*
 * Time on this clock that certainly ends before @span_us has passed on another
 * one. With a rate error of up to e on both clocks the factor is
 * (1 - e) / (1 + e), which is greater than 1 - 2 e.
 */
static inline int64_t bb_margin_shorten(int64_t span_us, int64_t drift_ppm)
{
	return span_us - (span_us * 2 * drift_ppm + BB_PPM - 1) / BB_PPM;
}

/*
 * Time on this clock after which @span_us has certainly passed on another one.
 * The factor is (1 + e) / (1 - e), which is less than 1 + 3 e for e up to 0.3.
 * One ms is added for rounding.
 */
static inline int64_t bb_margin_extend(int64_t span_us, int64_t drift_ppm)
{
	return span_us + span_us * 3 * drift_ppm / BB_PPM + 1000;
}

#endif
