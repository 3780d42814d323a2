#include "baobabward/clock.h"

#include <time.h>

static int64_t read_clock_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ts.tv_sec * BB_US_PER_S + ts.tv_nsec / 1000;
}

int64_t bb_clock_now_us(void)
{
	return read_clock_us(CLOCK_BOOTTIME);
}

int64_t bb_clock_wall_us(void)
{
	return read_clock_us(CLOCK_REALTIME);
}
