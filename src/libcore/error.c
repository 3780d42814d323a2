#include "baobabward/error.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>

const char *const bb_error_code_string[] = {
	"none",	 "invalid", "out of memory", "i/o",	     "out of order",
	"stale", "full",    "not found",     "bad signature"
};

static_assert(sizeof(bb_error_code_string) / sizeof(*bb_error_code_string) ==
		      BB_ERROR_COUNT,
	      "bb_error_code_string must have a name for each error code");

int bb_error_set(struct bb_error *err, enum bb_error_code code,
		 const char *format, ...)
{
	va_list ap;

	if (!err)
		return -1;
	err->code = code;
	va_start(ap, format);
	vsnprintf(err->message, sizeof(err->message), format, ap);
	va_end(ap);
	return -1;
}
