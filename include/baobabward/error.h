/* Error that a function reports through a pointer given by its caller. */
#ifndef BAOBABWARD_ERROR_H
#define BAOBABWARD_ERROR_H

#ifdef __cplusplus
extern "C" {
#endif

/* Size of an error message in bytes, with the terminating NUL. */
#define BB_ERROR_MESSAGE_SIZE 1024

/**
 * enum bb_error_code - kind of failure, for callers that branch on it.
 * @BB_ERROR_NONE: no error
 * @BB_ERROR_INVALID: bad argument, setting, document or message
 * @BB_ERROR_NO_MEMORY: allocation failed
 * @BB_ERROR_IO: a system or network call failed
 * @BB_ERROR_STATE: call not allowed in the present state
 * @BB_ERROR_STALE: version or incarnation is older than one already known
 * @BB_ERROR_FULL: a bounded table or queue has no room
 * @BB_ERROR_NOT_FOUND: no such item
 * @BB_ERROR_SIGNATURE: signature or hash does not match
 */
enum bb_error_code {
	BB_ERROR_NONE,
	BB_ERROR_INVALID,
	BB_ERROR_NO_MEMORY,
	BB_ERROR_IO,
	BB_ERROR_STATE,
	BB_ERROR_STALE,
	BB_ERROR_FULL,
	BB_ERROR_NOT_FOUND,
	BB_ERROR_SIGNATURE,
	BB_ERROR_COUNT
};

/* Name of each code, indexed by enum bb_error_code. */
extern const char *const bb_error_code_string[];

/**
 * struct bb_error - a failure and its message.
 * @code: kind of failure
 * @message: lower-case sentence without a full stop, never empty when @code
 *           is set; contains no key material
 */
struct bb_error {
	enum bb_error_code code;
	char message[BB_ERROR_MESSAGE_SIZE];
};

/**
 * bb_error_set() - fill in an error.
 * @err: error to fill in, may be NULL
 * @code: kind of failure
 * @format: printf format of the message; a message that is too long is cut
 *
 * Return: always -1, so that a function can end with return bb_error_set().
 */
int bb_error_set(struct bb_error *err, enum bb_error_code code,
		 const char *format, ...) __attribute__((format(printf, 3, 4)));

#ifdef __cplusplus
}
#endif
#endif
