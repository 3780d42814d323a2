/* Processor time of all threads of the process, also those of libraries. */
#ifndef BB_CORE_THREAD_TIMES_H
#define BB_CORE_THREAD_TIMES_H

#include <glib.h>

/**
 * bb_thread_times_print() - print a metric of the time of each thread.
 * @s: text in the Prometheus format, which is appended to
 *
 * Threads of one name are added up. Reads /proc/self/task; without it, prints
 * nothing.
 */
void bb_thread_times_print(GString *s);

#endif
