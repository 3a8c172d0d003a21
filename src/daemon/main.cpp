/// \file
/// Entry point of stoneportd.
int main() {
  return 2;
}
