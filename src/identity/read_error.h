// The error of every parser in this module: what was parsed, and what is wrong with it.
#ifndef LIFTRUDDER_IDENTITY_READ_ERROR_H_
#define LIFTRUDDER_IDENTITY_READ_ERROR_H_

#include <string>

namespace liftrudder::identity {

struct ReadError {
  std::string where;    // for instance "key set" or "identity: tenant 'north'"; empty: the text as a whole
  std::string problem;  // names the member and the value at fault, never a secret

  std::string Message() const { return where.empty() ? problem : where + ": " + problem; }
};

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_READ_ERROR_H_
